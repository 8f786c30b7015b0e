/// \file
/// The coordinator of one move in one data centre: aggregates the evidence
/// of the data centre's nodes, raises the share and vetoes bad versions.
///
///     std::optional<VmId> vm = PickCoordinator(move, dataCentre, liveVms);
///     coordinator.AddReport(report);
///     coordinator.Advance(slots, times, progress);
///
/// The role is not exclusive. Two coordinators at once are safe, because
/// progress is merged as a join (version/MoveProgress.h). While a data centre
/// has no coordinator, its share stays unchanged unless a node vetoes the move.
///
/// Thread safety: one thread; PickCoordinator is a pure function.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "base/Ids.h"
#include "version/EvidenceTable.h"
#include "version/MovePolicy.h"
#include "version/MoveProgress.h"
#include "version/NodeMoveMonitor.h"

namespace tarragontray {

/// Selects the coordinator of the move among the data centre's live VMs; empty
/// if there are none. Uses rendezvous hashing, so that the loss of a VM
/// reassigns only the roles that it held.
std::optional<VmId>
PickCoordinator(const MoveId& aMove,
                const DataCentreId& aDataCentre,
                const std::vector<VmId>& aLiveVms);

/// The readings of both clocks at one moment.
struct Times
{
  MonotonicTime m_now{};
  WallTime m_wall{};
};

/// The coordinator of one move in one data centre; see the file comment.
class MoveCoordinator
{
public:
  /// Precondition: the policy outlives the coordinator.
  MoveCoordinator(MovePlan aPlan,
                  DataCentreId aDataCentre,
                  const MovePolicy& aPolicy);

  /// Adds a report from a node of this data centre.
  void AddReport(const EvidenceReport& aReport) { m_table.AddReport(aReport); }

  /// Judges the window since the previous call and updates this data centre's
  /// progress. A new coordinator does not raise the share during an initial
  /// observation time; reports added before the first call count as history.
  /// After a pause of the process, replace the coordinator with a new one.
  /// \param aWindowShare the highest share in force since the previous call.
  /// \return true if the progress changed.
  bool Advance(const WarmSlots& aSlots,
               Share aWindowShare,
               const Times& aTimes,
               MoveProgress& aProgress);

  /// The verdict on the last window.
  const Verdict& LastVerdict() const { return m_verdict; }

private:
  void Begin(MonotonicTime aNow);
  bool Raise(const Times& aTimes, DataCentreProgress& aProgress);
  bool LowerForComparison(const WarmSlots& aSlots,
                          DataCentreProgress& aProgress);

  MovePlan m_plan;
  DataCentreId m_dataCentre;
  const MovePolicy* m_policy;
  EvidenceTable m_table;
  std::unique_ptr<VersionJudge> m_judge;
  Verdict m_verdict;
  bool m_hasBegun = false;
  MonotonicTime m_begunAt{};
  /// The progress after the previous call, and when it last changed.
  DataCentreProgress m_lastProgress;
  MonotonicTime m_lastChange{};
};

} // namespace tarragontray
