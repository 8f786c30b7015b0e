/// \file
/// The coordinator of one move in one data centre: sums evidence, raises the
/// share, takes bad versions back.
///
///     std::optional<VmId> vm = PickCoordinator(move, dataCentre, liveVms);
///     coordinator.AddReport(report);
///     coordinator.Advance(slots, times, progress);
///
/// The role is soft. Two coordinators at once do no harm, because progress is a
/// join; while there is none the share stays where it is.
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

/// The VM that coordinators the move among the data centre's live VMs:
/// rendezvous hashing, so that the loss of a VM moves only the roles that it
/// held.
std::optional<VmId>
PickCoordinator(const MoveId& aMove,
                const DataCentreId& aDataCentre,
                const std::vector<VmId>& aLiveVms);

/// Both clocks at one moment.
struct Times
{
  MonotonicTime m_now{};
  WallTime m_wall{};
};

/// See the file comment.
class MoveCoordinator
{
public:
  /// Precondition: the policy outlives the coordinator.
  MoveCoordinator(MovePlan aPlan,
                  DataCentreId aDataCentre,
                  const MovePolicy& aPolicy);

  /// Takes a report of this data centre in.
  void AddReport(const EvidenceReport& aReport) { m_table.AddReport(aReport); }

  /// Judges the window since the last call and changes this data centre's
  /// progress. At first it only listens; reports learned before the first call
  /// are the past. After a pause a new coordinator is to be made.
  /// \param aWindowShare the highest share in force since the last call.
  /// \return true when the progress changed.
  bool Advance(const WarmSlots& aSlots,
               Share aWindowShare,
               const Times& aTimes,
               MoveProgress& aProgress);

  /// What the last window led to.
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
  /// The share as last seen, and since when it is so.
  DataCentreProgress m_lastProgress;
  MonotonicTime m_lastChange{};
};

} // namespace tarragontray
