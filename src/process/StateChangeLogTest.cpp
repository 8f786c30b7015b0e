#include "process/StateChangeLog.h"

#include <array>
#include <string>

#include <criterion/criterion.h>
#include <unistd.h>

#include "process/Log.h"

namespace tarragontray {

namespace {

/// Captures the log output for the lifetime of the object.
class CapturedLog
{
public:
  CapturedLog()
  {
    cr_assert_eq(pipe(m_pipe.data()), 0);
    m_saved = dup(STDOUT_FILENO);
    dup2(m_pipe[1], STDOUT_FILENO);
    StartLog(LogLevel::Info, LogOutput::StandardOutput);
  }

  /// Stops the log and returns the captured output. Precondition: called at
  /// most once.
  std::string Text()
  {
    StopLog();
    dup2(m_saved, STDOUT_FILENO);
    close(m_pipe[1]);
    std::string text;
    std::array<char, 4096> part{};
    for (ssize_t got = 0;
         (got = read(m_pipe[0], part.data(), part.size())) > 0;) {
      text.append(part.data(), static_cast<std::size_t>(got));
    }
    return text;
  }

private:
  std::array<int, 2> m_pipe{};
  int m_saved = -1;
};

std::size_t
Count(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (std::size_t at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

} // namespace

Test(StateChangeLog, EachChangeIsLoggedOnce)
{
  CapturedLog log;
  StateChangeLog stateChanges;
  ControlStatus status;
  AccountStatus account;
  account.m_account = ClientAccountId("a");
  account.m_inForce = Revision(7);
  status.m_accounts = { account };
  MemberRecord member;
  member.m_vm = VmId("vm-2");
  member.m_upstream.m_state = UpstreamState::Live;
  status.m_members = { member };
  stateChanges.LogChanges(status);
  stateChanges.LogChanges(status);
  status.m_accounts.front().m_inForce = Revision(9);
  status.m_accounts.front().m_pending =
    PendingVersion{ Revision(11), PendingReason::Rejected, "routes[3]" };
  status.m_members.front().m_state = NodeState::Dead;
  stateChanges.LogChanges(status);
  const std::string text = log.Text();
  cr_assert_eq(Count(text, "Configuration in force."), 2, "%s", text.c_str());
  cr_assert_eq(Count(text, "revision=9 was=7"), 1, "%s", text.c_str());
  cr_assert_eq(
    Count(text, "Configuration not applied."), 1, "%s", text.c_str());
  cr_assert_eq(Count(text, "detail=routes[3]"), 1, "%s", text.c_str());
  cr_assert_eq(Count(text, "Node changed."), 2, "%s", text.c_str());
  cr_assert_eq(Count(text, "state=dead"), 1, "%s", text.c_str());
}

Test(StateChangeLog, MoveIsLoggedWhenItsStateSharesOrReasonChange)
{
  CapturedLog log;
  StateChangeLog stateChanges;
  ControlStatus status;
  MoveStatus move;
  move.m_state = MoveState::Moving;
  move.m_shares[DataCentreId("dc")] = Share::FromFraction(0.25);
  move.m_evidence = "route-1 failures new=1/20 old=0/40 score=1.2";
  status.m_moves = { move };
  stateChanges.LogChanges(status);
  status.m_moves.front().m_calls = CallCount(9);
  stateChanges.LogChanges(status);
  status.m_moves.front().m_state = MoveState::TakenBack;
  status.m_moves.front().m_reason = "failures new=9/20 old=0/40";
  stateChanges.LogChanges(status);
  const std::string text = log.Text();
  cr_assert_eq(Count(text, "Move changed."), 2, "%s", text.c_str());
  cr_assert_eq(Count(text, "shares=dc:0.25"), 2, "%s", text.c_str());
  cr_assert_eq(Count(text, "old=0/40 score=1.2\""), 2, "%s", text.c_str());
  cr_assert_eq(Count(text, "reason=\"failures new=9/20 old=0/40\""),
               1,
               "%s",
               text.c_str());
}

} // namespace tarragontray
