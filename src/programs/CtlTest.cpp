#include <criterion/criterion.h>

#include "programs/CtlChange.h"
#include "programs/CtlTestFixture.h"
#include "version/ConfigurationJson.h"
#include "version/ConfigurationSamples.h"

namespace tarragontray {

namespace {

std::string
StatusWithVersion(const std::string& aVersion)
{
  return R"({"vm": "addis-1-1", "data_centre": "addis-1", "configurations": )"
         R"([{"account": "mesqel-gate", "version": )" +
         aVersion +
         R"(, "floor": 0}], "members": [{"vm": "addis-2-1", "state": "alive",)"
         R"( "peer_address": "127.0.2.1:7000"}]})";
}

} // namespace

Test(Ctl, AWrittenTemplateIsImmutable)
{
  const CtlTestEnvironment environment;
  const CommandLine ctl(environment);
  const TemporaryFile file(SampleTemplateText());
  ctl.RunSuccessfully({ "template", "put", file.Path() });
  const CtlOutput again =
    ctl.RunSuccessfully({ "template", "put", file.Path() });
  cr_assert(Contains(again.m_text, "already-written"));
  Template other = SampleTemplate();
  other.m_services[0].m_queueLimit = 33U;
  const auto refused =
    ctl.Run({ "template", "put", TemporaryFile(EncodeTemplate(other)).Path() });
  cr_assert(refused.value().m_exitStatus == kExitLostRace);
  cr_assert(
    Contains(refused.value().m_text, "services[box-office].queue_limit: 33"));
  cr_assert(
    Contains(ctl.RunSuccessfully({ "template", "list" }).m_text, "sample/3"));
  const CtlOutput got =
    ctl.RunSuccessfully({ "template", "get", "sample", "3" });
  cr_assert(DecodeTemplate(got.m_text).value() == SampleTemplate());
}

Test(Ctl, ARequestIsExplainedFromTheLogsOfItsNodes)
{
  const CtlTestEnvironment environment;
  const CommandLine ctl(environment);
  const TemporaryFile first(
    "2026-12-04T10:00:00.000001 info node: Node started. vm=a front=x\n"
    "2026-12-04T10:00:02.000900 info front: Call ended. id=7f target=b "
    "outcome=not-run\n"
    "2026-12-04T10:00:02.000100 info front: Call ended. id=7fff target=c\n");
  const TemporaryFile second(
    "   1.2 b 2026-12-04T10:00:02.000800 info guard: Call refused. id=7f "
    "reason=queue-full\n"
    "   1.1 b 2026-12-04T10:00:02.000700 info front: Call ended. id=7f.1 "
    "target=d\n");
  const std::string text =
    ctl
      .RunSuccessfully({ "explain-request", "7f", first.Path(), second.Path() })
      .m_text;
  const std::size_t call = text.find("id=7f.1");
  const std::size_t refused = text.find("b info guard: Call refused. id=7f");
  const std::size_t ended = text.find("a info front: Call ended. id=7f ");
  cr_assert(call < refused && refused < ended, "%s", text.c_str());
  cr_assert(ended != std::string::npos, "%s", text.c_str());
  cr_assert(!Contains(text, "7fff"), "%s", text.c_str());
  cr_assert(Contains(text, "gap: no log of d was given"), "%s", text.c_str());
  cr_assert(!Contains(text, "no log of b"), "%s", text.c_str());
  const auto missing = ctl.Run({ "explain-request", "99", first.Path() });
  cr_assert_eq(missing.value().m_exitStatus, kExitFailed);
  cr_assert(!ctl.Run({ "explain-request", "99", "/nowhere/log" }).has_value());
  cr_assert(!ctl.Run({ "explain-request", "99" }).has_value());
}

Test(Ctl, AVersionIsExplainedFromTheLogsOfItsNodes)
{
  const CtlTestEnvironment environment;
  const CommandLine ctl(environment);
  const std::string change = " info control: Configuration in force. account=";
  const TemporaryFile took(
    "2026-12-04T10:00:00.000001 info node: Node started. vm=a front=x\n"
    "2026-12-04T10:00:01.000001" +
    change + "mesh revision=4 was=none source=list peer=\n" +
    "2026-12-04T10:00:02.000001" + change +
    "other revision=7 was=4 source=watch peer=\n" +
    "2026-12-04T10:00:03.000001" + change +
    "mesh revision=7 was=4 source=watch peer=\n");
  const TemporaryFile others("1.1 b 2026-12-04T10:00:02.500001" + change +
                             "mesh revision=9 was=4 source=pull peer=a\n" +
                             "1.1 c 2026-12-04T10:00:02.700001" + change +
                             "mesh revision=5 was=4 source=watch peer=\n");
  const std::string text =
    ctl
      .RunSuccessfully(
        { "explain-version", "mesh", "7", took.Path(), others.Path() })
      .m_text;
  const std::size_t passed = text.find("b passed by: info control");
  const std::size_t taken = text.find("10:00:03.000001 a in force: info");
  const std::size_t missing = text.find("c missing: ");
  cr_assert(passed < taken && taken < missing, "%s", text.c_str());
  cr_assert(missing != std::string::npos, "%s", text.c_str());
  const auto unknown =
    ctl.Run({ "explain-version", "mesh", "6", took.Path(), others.Path() });
  cr_assert_eq(unknown.value().m_exitStatus, kExitFailed);
  cr_assert(!ctl.Run({ "explain-version", "mesh", "x", took.Path() }));
}

Test(Ctl, OutputOfConfigGetCanBeApplied)
{
  const CtlTestEnvironment environment;
  const CommandLine ctl(environment);
  WriteInitialConfiguration(ctl);
  const std::string text =
    ctl.RunSuccessfully({ "config", "get", "mesqel-gate" }).m_text;
  cr_assert(EncodeParameters(DecodeParameters(text).value()) ==
            ParametersText(101));
  ctl.RunSuccessfully({ "config", "apply", TemporaryFile(text).Path() });
}

Test(Ctl, RefusedInputNamesTheField)
{
  const CtlTestEnvironment environment;
  const CommandLine ctl(environment);
  WriteInitialConfiguration(ctl);
  const auto refused = ctl.Run(
    { "config", "apply", TemporaryFile(ParametersText(10'000)).Path() });
  cr_assert(refused.error().Detail().starts_with("parameters.values.wait"));
  cr_assert(ExitStatusOf(refused.error()) == kExitRefused);
  const auto garbled =
    ctl.Run({ "config", "validate", TemporaryFile("{").Path() });
  cr_assert(ExitStatusOf(garbled.error()) == kExitRefused);
  const auto unknown = ctl.Run({ "config", "unknown" });
  cr_assert(ExitStatusOf(unknown.error()) == kExitRefused);
}

Test(Ctl, ALostRaceDoesNotOverwriteTheOtherChange)
{
  const CtlTestEnvironment environment;
  const CommandLine ctl(environment);
  WriteInitialConfiguration(ctl);
  const auto session =
    CtlSession::Create({ .m_platform = environment.Platform() });
  const auto review = ReviewChange(
    *session.value(), DecodeParameters(ParametersText(103)).value());
  // Another operator applies a change between the review and the write.
  ctl.RunSuccessfully(
    { "config", "apply", TemporaryFile(ParametersText(102)).Path() });
  const auto lost = ApplyChange(*session.value(), review.value(), std::nullopt);
  cr_assert(lost.value().m_exitStatus == kExitLostRace);
  cr_assert(Contains(lost.value().m_text, "values.wait: 103 -> 102"));
  cr_assert(
    Contains(ctl.RunSuccessfully({ "config", "get", "mesqel-gate" }).m_text,
             "\"wait\": 102"));
}

Test(Ctl, AChangeBasedOnAnOlderVersionIsNotWritten)
{
  CtlTestEnvironment environment;
  const CommandLine ctl(environment);
  WriteInitialConfiguration(ctl);
  const TemporaryFile file(ParametersText(102));
  ctl.RunSuccessfully({ "config", "apply", file.Path() }, { "--expected=2" });
  const std::uint64_t before = environment.WriteCount();
  const auto lost =
    ctl.Run({ "config", "apply", file.Path() }, { "--expected=2" });
  cr_assert(lost.value().m_exitStatus == kExitLostRace);
  cr_assert(environment.WriteCount() == before);
}

Test(Ctl, ARetryAfterALostAnswerDoesNotWriteTwice)
{
  CtlTestEnvironment environment;
  const CommandLine ctl(environment);
  WriteInitialConfiguration(ctl);
  const std::uint64_t before = environment.WriteCount();
  PlatformFaults faults;
  faults.m_lostAnswers = 2; // For the history and the configuration.
  environment.SetFaults(faults);
  const CtlOutput applied = ctl.RunSuccessfully(
    { "config", "apply", TemporaryFile(ParametersText(102)).Path() });
  cr_assert(Contains(applied.m_text, "values.wait: 101 -> 102"));
  cr_assert(environment.WriteCount() == before + 2);
  cr_assert(
    Contains(ctl.RunSuccessfully({ "config", "get", "mesqel-gate" }).m_text,
             "\"wait\": 102"));
}

Test(Ctl, AnUnreachablePlatformHasItsOwnExitStatus)
{
  CtlTestEnvironment environment;
  const CommandLine ctl(environment);
  WriteInitialConfiguration(ctl);
  PlatformFaults faults;
  faults.m_outage = Outage::Refuse;
  environment.SetFaults(faults);
  const auto refused = ctl.Run({ "config", "get", "mesqel-gate" });
  cr_assert(ExitStatusOf(refused.error()) == kExitUnreachable);
}

Test(Ctl, EarlierVersionsCanBeReadAndCompared)
{
  const CtlTestEnvironment environment;
  const CommandLine ctl(environment);
  WriteInitialConfiguration(ctl);
  ctl.RunSuccessfully(
    { "config", "apply", TemporaryFile(ParametersText(102)).Path() });
  const std::string history =
    ctl.RunSuccessfully({ "config", "history", "mesqel-gate" }).m_text;
  cr_assert(Contains(history, "\n2 ") && Contains(history, "\n4 "));
  const CtlOutput earlier =
    ctl.RunSuccessfully({ "config", "get", "mesqel-gate" }, { "--revision=2" });
  cr_assert(Contains(earlier.m_text, "\"wait\": 101"));
  const CtlOutput difference =
    ctl.RunSuccessfully({ "config", "diff", "mesqel-gate", "2" });
  cr_assert(Contains(difference.m_text, "values.wait: 101 -> 102"));
  const auto missing =
    ctl.Run({ "config", "get", "mesqel-gate" }, { "--revision=3" });
  cr_assert(missing.error().Code() == ErrorCode::NotFound);
}

Test(Ctl, ApplyWaitsUntilTheVersionIsInForce)
{
  CtlTestEnvironment environment;
  const CommandLine ctl(environment);
  WriteInitialConfiguration(ctl);
  environment.SetNodeStatuses(
    { StatusWithVersion("2"), StatusWithVersion("2"), StatusWithVersion("4") });
  const CtlOutput applied = ctl.RunSuccessfully(
    { "config", "apply", TemporaryFile(ParametersText(102)).Path() },
    { "--wait", ctl.NodeFlag() });
  cr_assert(Contains(applied.m_text, "in force on 1 nodes"));
  cr_assert(Contains(applied.m_text, "no --node given: addis-2-1"));
}

Test(Ctl, ApplyNamesTheNodesThatDoNotHaveTheVersion)
{
  CtlTestEnvironment environment;
  const CommandLine ctl(environment);
  WriteInitialConfiguration(ctl);
  environment.SetNodeStatuses({ StatusWithVersion("2") });
  const auto applied =
    ctl.Run({ "config", "apply", TemporaryFile(ParametersText(102)).Path() },
            { "--wait", "--wait-ms=300", ctl.NodeFlag() });
  cr_assert(applied.value().m_exitStatus == kExitFailed);
  cr_assert(
    Contains(applied.value().m_text, "not in force: addis-1-1 has version 2"));
}

} // namespace tarragontray
