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

#include <cstddef>
#include <map>
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

/// The shares of the new version in this data centre.
struct ShareUse
{
  /// The highest one since the previous call.
  Share m_highest = Share::None();
  /// The integral over time since the start of the move.
  Duration m_spent{ 0 };
};

/// The coordinator of one move in one data centre; see the file comment.
class MoveCoordinator
{
public:
  /// Precondition: the policy outlives the coordinator.
  /// \param aReportLapse the age from which a node's last report does not count
  /// towards the quorum.
  MoveCoordinator(MovePlan aPlan,
                  DataCentreId aDataCentre,
                  const MovePolicy& aPolicy,
                  Duration aReportLapse);

  /// Adds a report from a node of this data centre; it may have no entries.
  void AddReport(const EvidenceReport& aReport, MonotonicTime aNow);

  /// Whether more than half of the nodes have reported recently. A coordinator
  /// without a quorum may be cut off from the evidence, so it does not raise
  /// the share, and the move must not be completed.
  /// \param aNodes the number of nodes of this data centre, including those
  /// that failed recently; zero if unknown, which always is a quorum.
  bool HasQuorum(std::size_t aNodes, MonotonicTime aNow) const;

  /// Judges the window since the previous call and updates this data centre's
  /// progress. A new coordinator does not raise the share during an initial
  /// observation time; reports added before the first call count as history.
  /// After a pause of the process, replace the coordinator with a new one.
  /// \param aNodes see HasQuorum.
  /// \param aUse the shares that were in force.
  /// \return true if the progress changed.
  bool Advance(const WarmSlots& aSlots,
               std::size_t aNodes,
               const ShareUse& aUse,
               const Times& aTimes,
               MoveProgress& aProgress);

  /// The verdict on the last window.
  const Verdict& LastVerdict() const { return m_verdict; }

private:
  void Begin(MonotonicTime aNow);
  PaceInput Pace(const Times& aTimes,
                 const DataCentreProgress& aProgress) const;
  bool Raise(const Times& aTimes, DataCentreProgress& aProgress);
  /// Lowers the share, if it is higher than aShare.
  static bool Lower(Share aShare, DataCentreProgress& aProgress);

  MovePlan m_plan;
  DataCentreId m_dataCentre;
  const MovePolicy* m_policy;
  EvidenceTable m_table;
  std::unique_ptr<VersionJudge> m_judge;
  Verdict m_verdict;
  Duration m_reportLapse;
  /// See PaceInput.
  Duration m_spent{ 0 };
  /// See PaceInput. Cleared while less than a majority of the nodes reports.
  bool m_hasPassedTrial = false;
  /// Whether this coordinator has raised the share.
  bool m_hasRaised = false;
  /// When each node reported last.
  std::map<VmId, MonotonicTime> m_reportedAt;
  bool m_hasBegun = false;
  MonotonicTime m_begunAt{};
  /// The progress after the previous call, and when it last changed.
  DataCentreProgress m_lastProgress;
  MonotonicTime m_lastChange{};
};

} // namespace tarragontray
