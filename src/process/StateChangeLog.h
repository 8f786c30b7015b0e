/// \file
/// Logs each change of the node's control state: configurations that take
/// effect or can't be applied, other nodes and their upstreams, traffic moves.
///
///     StateChangeLog stateChanges;
///     // Whenever a new view is published:
///     stateChanges.LogChanges(core.Status(wall));
///
/// Each status is compared with the previous one. Every change is therefore
/// logged once, and the decision code needs no dependency on logging.
///
/// Thread safety: not thread-safe; used by the control thread.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "process/ControlCore.h"

namespace tarragontray {

/// See the file comment.
class StateChangeLog
{
public:
  /// Logs the differences between aStatus and the status of the previous call.
  void LogChanges(const ControlStatus& aStatus);

private:
  void LogAccount(const AccountStatus& aAccount, const DocumentOrigin& aOrigin);
  void LogMember(const MemberRecord& aMember);
  void LogMove(const MoveStatus& aMove);
  void LogOrders(const ControlStatus& aStatus);
  void LogEvacuations(const std::set<DataCentreId>& aEvacuated);
  /// Logs how many lines the log has dropped since the previous report.
  void LogDroppedLines();

  std::map<ClientAccountId, AccountStatus> m_accounts;
  std::map<VmId, MemberRecord> m_members;
  /// Summary of each move as it was last logged.
  std::map<MoveId, std::string> m_moves;
  std::set<DataCentreId> m_evacuated;
  std::uint64_t m_rejectedOrders = 0;
  std::uint64_t m_dropped = 0;
};

} // namespace tarragontray
