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

Test(Ctl, ATemplateIsWrittenOnceAndForGood)
{
  const Surroundings surroundings;
  const Operator op(surroundings);
  const TemporaryFile file(SampleTemplateText());
  op.Done({ "template", "put", file.Path() });
  const CtlOutput again = op.Done({ "template", "put", file.Path() });
  cr_assert(Contains(again.m_text, "already-written"));
  Template other = SampleTemplate();
  other.m_services[0].m_queueLimit = 33U;
  const auto refused =
    op.Run({ "template", "put", TemporaryFile(EncodeTemplate(other)).Path() });
  cr_assert(refused.value().m_exitStatus == kExitLostRace);
  cr_assert(
    Contains(refused.value().m_text, "services[box-office].queue_limit: 33"));
  cr_assert(Contains(op.Done({ "template", "list" }).m_text, "sample/3"));
  const CtlOutput got = op.Done({ "template", "get", "sample", "3" });
  cr_assert(DecodeTemplate(got.m_text).value() == SampleTemplate());
}

Test(Ctl, ARequestIsExplainedFromTheLogsOfItsNodes)
{
  const Surroundings surroundings;
  const Operator op(surroundings);
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
    op.Done({ "explain-request", "7f", first.Path(), second.Path() }).m_text;
  const std::size_t call = text.find("id=7f.1");
  const std::size_t refused = text.find("b info guard: Call refused. id=7f");
  const std::size_t ended = text.find("a info front: Call ended. id=7f ");
  cr_assert(call < refused && refused < ended, "%s", text.c_str());
  cr_assert(ended != std::string::npos, "%s", text.c_str());
  cr_assert(!Contains(text, "7fff"), "%s", text.c_str());
  cr_assert(Contains(text, "gap: no log of d was given"), "%s", text.c_str());
  cr_assert(!Contains(text, "no log of b"), "%s", text.c_str());
  const auto missing = op.Run({ "explain-request", "99", first.Path() });
  cr_assert_eq(missing.value().m_exitStatus, kExitFailed);
  cr_assert(!op.Run({ "explain-request", "99", "/nowhere/log" }).has_value());
  cr_assert(!op.Run({ "explain-request", "99" }).has_value());
}

Test(Ctl, AVersionIsExplainedFromTheLogsOfTheNodesItReachedAndMissed)
{
  const Surroundings surroundings;
  const Operator op(surroundings);
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
    op.Done({ "explain-version", "mesh", "7", took.Path(), others.Path() })
      .m_text;
  const std::size_t passed = text.find("b passed by: info control");
  const std::size_t taken = text.find("10:00:03.000001 a in force: info");
  const std::size_t missing = text.find("c missing: ");
  cr_assert(passed < taken && taken < missing, "%s", text.c_str());
  cr_assert(missing != std::string::npos, "%s", text.c_str());
  const auto unknown =
    op.Run({ "explain-version", "mesh", "6", took.Path(), others.Path() });
  cr_assert_eq(unknown.value().m_exitStatus, kExitFailed);
  cr_assert(!op.Run({ "explain-version", "mesh", "x", took.Path() }));
}

Test(Ctl, WhatConfigGetPrintsCanBeApplied)
{
  const Surroundings surroundings;
  const Operator op(surroundings);
  Prepare(op);
  const std::string text = op.Done({ "config", "get", "mesqel-gate" }).m_text;
  cr_assert(EncodeParameters(DecodeParameters(text).value()) ==
            Parameters(101));
  op.Done({ "config", "apply", TemporaryFile(text).Path() });
}

Test(Ctl, RefusedInputNamesTheField)
{
  const Surroundings surroundings;
  const Operator op(surroundings);
  Prepare(op);
  const auto refused =
    op.Run({ "config", "apply", TemporaryFile(Parameters(10'000)).Path() });
  cr_assert(refused.error().Detail().starts_with("parameters.values.wait"));
  cr_assert(ExitStatusOf(refused.error()) == kExitRefused);
  const auto garbled =
    op.Run({ "config", "validate", TemporaryFile("{").Path() });
  cr_assert(ExitStatusOf(garbled.error()) == kExitRefused);
  const auto unknown = op.Run({ "config", "unknown" });
  cr_assert(ExitStatusOf(unknown.error()) == kExitRefused);
}

Test(Ctl, TheLoserOfARaceOverwritesNothing)
{
  const Surroundings surroundings;
  const Operator op(surroundings);
  Prepare(op);
  const auto session =
    CtlSession::Create({ .m_platform = surroundings.Platform() });
  const auto review =
    ReviewChange(*session.value(), DecodeParameters(Parameters(103)).value());
  // Another operator applies a change between the review and the write.
  op.Done({ "config", "apply", TemporaryFile(Parameters(102)).Path() });
  const auto lost = ApplyChange(*session.value(), review.value(), std::nullopt);
  cr_assert(lost.value().m_exitStatus == kExitLostRace);
  cr_assert(Contains(lost.value().m_text, "values.wait: 103 -> 102"));
  cr_assert(Contains(op.Done({ "config", "get", "mesqel-gate" }).m_text,
                     "\"wait\": 102"));
}

Test(Ctl, AChangeMadeFromAnOlderVersionLosesItsRace)
{
  Surroundings surroundings;
  const Operator op(surroundings);
  Prepare(op);
  const TemporaryFile file(Parameters(102));
  op.Done({ "config", "apply", file.Path() }, { "--expected=2" });
  const std::uint64_t before = surroundings.Writes();
  const auto lost =
    op.Run({ "config", "apply", file.Path() }, { "--expected=2" });
  cr_assert(lost.value().m_exitStatus == kExitLostRace);
  cr_assert(surroundings.Writes() == before);
}

Test(Ctl, ALostAnswerDoesNotWriteTwice)
{
  Surroundings surroundings;
  const Operator op(surroundings);
  Prepare(op);
  const std::uint64_t before = surroundings.Writes();
  PlatformFaults faults;
  faults.m_lostAnswers = 2; // Writes of history and configuration.
  surroundings.SetFaults(faults);
  const CtlOutput applied =
    op.Done({ "config", "apply", TemporaryFile(Parameters(102)).Path() });
  cr_assert(Contains(applied.m_text, "values.wait: 101 -> 102"));
  cr_assert(surroundings.Writes() == before + 2);
  cr_assert(Contains(op.Done({ "config", "get", "mesqel-gate" }).m_text,
                     "\"wait\": 102"));
}

Test(Ctl, AnUnreachablePlatformHasItsOwnStatus)
{
  Surroundings surroundings;
  const Operator op(surroundings);
  Prepare(op);
  PlatformFaults faults;
  faults.m_outage = Outage::Refuse;
  surroundings.SetFaults(faults);
  const auto refused = op.Run({ "config", "get", "mesqel-gate" });
  cr_assert(ExitStatusOf(refused.error()) == kExitUnreachable);
}

Test(Ctl, FormerVersionsCanBeReadBackAndCompared)
{
  const Surroundings surroundings;
  const Operator op(surroundings);
  Prepare(op);
  op.Done({ "config", "apply", TemporaryFile(Parameters(102)).Path() });
  const std::string history =
    op.Done({ "config", "history", "mesqel-gate" }).m_text;
  cr_assert(Contains(history, "\n2 ") && Contains(history, "\n4 "));
  const CtlOutput former =
    op.Done({ "config", "get", "mesqel-gate" }, { "--revision=2" });
  cr_assert(Contains(former.m_text, "\"wait\": 101"));
  const CtlOutput difference =
    op.Done({ "config", "diff", "mesqel-gate", "2" });
  cr_assert(Contains(difference.m_text, "values.wait: 101 -> 102"));
  const auto missing =
    op.Run({ "config", "get", "mesqel-gate" }, { "--revision=3" });
  cr_assert(missing.error().Code() == ErrorCode::NotFound);
}

Test(Ctl, ApplyWaitsUntilTheVersionIsInForce)
{
  Surroundings surroundings;
  const Operator op(surroundings);
  Prepare(op);
  surroundings.SetStatuses(
    { StatusWithVersion("2"), StatusWithVersion("2"), StatusWithVersion("4") });
  const CtlOutput applied =
    op.Done({ "config", "apply", TemporaryFile(Parameters(102)).Path() },
            { "--wait", op.NodeFlag() });
  cr_assert(Contains(applied.m_text, "in force on 1 nodes"));
  cr_assert(Contains(applied.m_text, "no --node given: addis-2-1"));
}

Test(Ctl, ApplyNamesTheNodesThatDoNotHaveTheVersion)
{
  Surroundings surroundings;
  const Operator op(surroundings);
  Prepare(op);
  surroundings.SetStatuses({ StatusWithVersion("2") });
  const auto applied =
    op.Run({ "config", "apply", TemporaryFile(Parameters(102)).Path() },
           { "--wait", "--wait-ms=300", op.NodeFlag() });
  cr_assert(applied.value().m_exitStatus == kExitFailed);
  cr_assert(
    Contains(applied.value().m_text, "not in force: addis-1-1 has version 2"));
}

} // namespace tarragontray
