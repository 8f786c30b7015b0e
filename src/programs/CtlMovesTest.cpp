#include <criterion/criterion.h>

#include "programs/CtlNodeStatus.h"
#include "programs/CtlTestFixture.h"
#include "version/ObjectKeys.h"
#include "version/TextMutator.h"

namespace tarragontray {

Test(Ctl, AMoveIsPlannedShownAndCancelled)
{
  CtlTestEnvironment environment;
  const CommandLine ctl(environment);
  WriteInitialConfiguration(ctl);
  const auto soon =
    ctl.Run({ "move", "start", "mesqel-gate", "box-office", "v2" },
            { "--deadline=+14s" });
  cr_assert(
    soon.error().Detail().starts_with("parameters.services[0].move.deadline"));
  cr_assert(Contains(soon.error().Detail(), "the earliest is 20"));
  ctl.RunSuccessfully({ "move", "start", "mesqel-gate", "box-office", "v2" },
                      { "--deadline=+60s" });
  environment.SetNodeStatuses(
    { R"({"vm": "addis-1-1", "moves": [{"account": "mesqel-gate",)"
      R"( "service": "box-office", "plan": 5, "state": "moving",)"
      R"( "shares": {"addis-1": 0.25}, "reason": "evidence is awaited"}]})" });
  const CtlOutput shown = ctl.RunSuccessfully(
    { "move", "status", "mesqel-gate", "box-office" }, { ctl.NodeFlag() });
  cr_assert(Contains(shown.m_text, "plan 5 v1 -> v2: moving addis-1=25.0%"));
  const CtlOutput explained = ctl.RunSuccessfully(
    { "explain", "mesqel-gate", "purchase" }, { ctl.NodeFlag() });
  cr_assert(Contains(explained.m_text, "POST /purchases*"));
  cr_assert(Contains(explained.m_text, "addis-1=25.0%"));
  ctl.RunSuccessfully({ "move", "cancel", "mesqel-gate", "box-office" });
  const CtlOutput after =
    ctl.RunSuccessfully({ "move", "status", "mesqel-gate", "box-office" });
  cr_assert(Contains(after.m_text, "cancelled"));
}

Test(Ctl, TheOutcomeOfAMoveIsReadFromThePlatform)
{
  const CtlTestEnvironment environment;
  const CommandLine ctl(environment);
  WriteInitialConfiguration(ctl);
  ctl.RunSuccessfully({ "move", "start", "mesqel-gate", "box-office", "v2" },
                      { "--deadline=+60s" });
  const auto session =
    CtlSession::Create({ .m_platform = environment.Platform() });
  const MoveId move{ { ClientAccountId{ "mesqel-gate" },
                       ServiceName{ "box-office" } },
                     PlanNumber{ 5 } };
  session.value()->Write(
    { MoveKey(move),
      R"({"account": "mesqel-gate", "service": "box-office", "plan": 5,)"
      R"( "state": "taken-back", "time": "2026-12-04T18:00:00Z",)"
      R"( "route": "purchase", "reason": "failures new=12/40 old=1/400"})",
      Revision{ 0 },
      OperationId{ "outcome" } });
  const auto ended = ctl.Run({ "move", "watch", "mesqel-gate", "box-office" });
  cr_assert(ended.value().m_exitStatus == kExitFailed);
  cr_assert(Contains(ended.value().m_text,
                     "taken-back at 2026-12-04T18:00:00Z route=purchase "
                     "reason=\"failures new=12/40 old=1/400\""));
  // After the rollback v1 serves the traffic, so the next move starts from v1.
  ctl.RunSuccessfully({ "move", "start", "mesqel-gate", "box-office", "v3" },
                      { "--deadline=+60s" });
  const CtlOutput next =
    ctl.RunSuccessfully({ "move", "status", "mesqel-gate", "box-office" });
  cr_assert(Contains(next.m_text, "plan 6 v1 -> v3"));
}

Test(Ctl, TheLedgerSumsUpAllReports)
{
  const CtlTestEnvironment environment;
  const CommandLine ctl(environment);
  const auto session =
    CtlSession::Create({ .m_platform = environment.Platform() });
  for (const char* vm : { "a", "b" }) {
    session.value()->Write(
      { ObjectKey(std::string("ledger/") + vm + "/1"),
        R"({"vm": "a", "incarnation": 1, "usage": [{"using": "vanua-voice",)"
        R"( "owning": "mesqel-gate", "calls": 21, "slot_ms": 1500.0}]})",
        Revision{ 0 },
        OperationId(vm) });
  }
  const CtlOutput ledger = ctl.RunSuccessfully({ "ledger" });
  cr_assert(Contains(ledger.m_text, "vanua-voice  mesqel-gate  42     3.0"));
}

// After a hand-over between writers, the objects of both hold the counts of one
// node process.
Test(Ctl, TheLedgerCountsOneSourceOfTwoWritersOnce)
{
  const CtlTestEnvironment environment;
  const CommandLine ctl(environment);
  const auto session =
    CtlSession::Create({ .m_platform = environment.Platform() });
  const auto write = [&](const char* aWriter, const char* aCalls) {
    session.value()->Write(
      { ObjectKey(std::string("ledger/") + aWriter + "/1/0"),
        R"({"reports": [{"vm": "a", "incarnation": 1, "usage": [{"using":)"
        R"( "vanua-voice", "owning": "mesqel-gate", "calls": )" +
          std::string(aCalls) + R"(, "slot_ms": 1500.0}]}, {"vm": "b"}]})",
        Revision{ 0 },
        OperationId(aWriter) });
  };
  write("first", "21");
  write("second", "30");
  const auto ledger = ctl.Run({ "ledger" });
  cr_assert(ledger.has_value());
  cr_assert(
    Contains(ledger.value().m_text, "vanua-voice  mesqel-gate  30     1.5"));
  // Each object holds one report without usage.
  cr_assert(Contains(ledger.value().m_text, "2 reports could not be read"));
}

// Mutated status texts must either decode or give an error, without a crash.
// The assertion checks that the mutations produce both results.
Test(Ctl, AMutatedStatusIsDecodedOrRejected)
{
  constexpr int kInputs = 20'000;
  const std::string status =
    R"({"vm": "a", "data_centre": "d", "draining": false, "members": [{"vm":)"
    R"( "a", "state": "alive", "slots": 12}], "configurations": [{"account":)"
    R"( "x", "version": 7, "pending": {"version": 8, "reason": "rejected",)"
    R"( "detail": "y"}}], "moves": [{"plan": 1, "shares": {"d": 0.5}}]})";
  TextMutator mutator(20261204);
  int read = 0;
  for (int i = 0; i < kInputs; ++i) {
    read += DecodeNodeStatus(mutator.Mutate(status)) ? 1 : 0;
  }
  cr_assert(read > 0 && read < kInputs, "%d read", read);
}

} // namespace tarragontray
