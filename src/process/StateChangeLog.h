/// \file
/// Writes a line for each change of what this node believes: configurations in
/// force or held up, other nodes and their upstreams, moves of traffic.
///
///     StateChangeLog beliefs;
///     beliefs.Note(core.Status(wall));   // whenever a new view is published
///
/// It compares with what it noted last, so that the decisions know nothing of
/// logs and a change is told once.
///
/// Thread safety: one thread.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "process/ControlCore.h"

namespace tarragontray {

class StateChangeLog
{
public:
  void Note(const ControlStatus& aStatus);

private:
  void LogAccount(const AccountStatus& aAccount, const DocumentOrigin& aOrigin);
  void LogMember(const MemberRecord& aMember);
  void LogMove(const MoveStatus& aMove);
  void LogOrders(const ControlStatus& aStatus);
  /// The log's own state: lines that it had to drop.
  void LogDroppedLines();

  std::map<ClientAccountId, AccountStatus> m_accounts;
  std::map<VmId, MemberRecord> m_members;
  /// The text last written of each move.
  std::map<MoveId, std::string> m_moves;
  std::uint64_t m_rejectedOrders = 0;
  std::uint64_t m_dropped = 0;
};

} // namespace tarragontray
