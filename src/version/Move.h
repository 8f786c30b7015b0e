/// \file
/// One move on one node: its progress, local evidence, node monitor and, while
/// this node has the role, its coordinator.
///
///     Move move(plan, settings, policy);
///     move.SetIsCoordinator(true);
///     move.Tick(times, actions);
///     VersionSplit split = move.Split();
///
/// Thread safety: one thread.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"
#include "version/LocalEvidence.h"
#include "version/MoveCoordinator.h"
#include "version/MovePolicy.h"
#include "version/MoveProgress.h"
#include "version/MoveStatus.h"
#include "version/NodeMoveMonitor.h"
#include "version/VersionSplit.h"

namespace tarragontray {

/// This node's identity and the intervals and limits of its moves.
struct MovesSettings
{
  VmId m_vm;
  Incarnation m_incarnation;
  DataCentreId m_dataCentre;
  /// The interval between evidence windows.
  Duration m_windowInterval = std::chrono::seconds(1);
  /// The minimum interval between evidence reports of one move.
  Duration m_reportInterval = std::chrono::seconds(1);
  /// The interval at which a coordinator resends its progress.
  Duration m_refreshInterval = std::chrono::seconds(5);
  /// The interval between attempts to write an outcome.
  Duration m_outcomeInterval = std::chrono::seconds(5);
  /// How long outcomes and vetoes are retained after the plan is removed.
  Duration m_retention = std::chrono::hours(48);
  /// The maximum number of moves. Beyond it those that ended first are
  /// forgotten; plans are rejected when all are in force.
  std::size_t m_maxMoves = 256;
};

/// The actions that a tick requests of the caller.
struct MoveActions
{
  /// Whether a split changed, so that a new view must be published.
  bool m_splitsChanged = false;
  /// Whether the state of a move changed.
  bool m_statesChanged = false;
  /// Progress to send to all nodes.
  std::vector<MoveProgress> m_progressUpdates;
  /// Reports to send to the move's coordinator in this data centre.
  std::vector<EvidenceReport> m_reports;
  /// Outcomes to write to the platform; returned again until acknowledged.
  std::vector<MoveOutcome> m_outcomes;
};

/// One move on one node; see the file comment.
class Move
{
public:
  /// Precondition: aSettings and aPolicy outlive the move.
  Move(const MovePlan& aPlan,
       const MovesSettings& aSettings,
       const MovePolicy& aPolicy);

  const MovePlan& Plan() const { return m_plan; }
  const MoveProgress& Progress() const { return m_progress; }

  /// Sets the data centres that must reach the full share before the move is
  /// done.
  void SetDataCentres(const std::set<DataCentreId>& aDataCentres);
  /// Sets whether this node is the move's coordinator in its data centre.
  void SetIsCoordinator(bool aIsCoordinator);
  bool IsCoordinator() const { return m_coordinator.has_value(); }
  void SetWarmSlots(const WarmSlots& aSlots) { m_slots = aSlots; }
  /// See MoveCoordinator::HasQuorum.
  void SetNodeCount(std::size_t aNodes) { m_nodeCount = aNodes; }

  void AddObservation(const LocalObservation& aObservation);
  void AddReport(const EvidenceReport& aReport, MonotonicTime aNow);
  /// \return true if the local progress changed.
  bool MergeProgress(const MoveProgress& aProgress);

  /// Evaluates the evidence, raises the share if it is due and adds the
  /// requested actions to aActions. Precondition: times do not decrease.
  void Tick(const Times& aTimes, MoveActions& aActions);

  /// The current split of the service's calls.
  VersionSplit Split() const;
  MoveStatus Status(WallTime aWall) const;
  /// Records that the outcome has been written to the platform.
  void AcknowledgeOutcome() { m_isOutcomeWritten = true; }

private:
  bool IsUndecided() const;
  /// Whether the move may be completed, as far as this node knows.
  bool MayComplete(MonotonicTime aNow) const;
  MoveCoordinator MakeCoordinator() const;
  void EmitReport(MonotonicTime aNow, MoveActions& aActions);
  bool HasFullShareEverywhere(Duration aHold, WallTime aWall) const;
  Share WarmSlotLimit() const;
  /// Detects a pause of this process, after which its progress may be stale.
  void CheckPause(MonotonicTime aNow);
  bool IsStale() const;
  /// The share recorded in the data centre's progress.
  Share DataCentreShare() const;
  /// The data centre's share, unless it is that of a trial which this node has
  /// applied for longer than trials last: then its end has not arrived, and the
  /// share after it applies.
  Share UnexpiredShare() const;
  /// Records since when the data centre's share has been as it is.
  void UpdateShareAge(MonotonicTime aNow);
  /// The share that this node applies: the data centre's, limited by the
  /// node monitor, the warm slots and staleness.
  Share AppliedShare() const;
  void Judge(const Times& aTimes);
  void EmitProgress(MonotonicTime aNow, MoveActions& aActions);
  void EmitOutcome(const Times& aTimes, MoveActions& aActions);
  MoveState State(WallTime aWall) const;
  std::string Reason(MoveState aState) const;

  MovePlan m_plan;
  const MovesSettings* m_settings;
  const MovePolicy* m_policy;
  std::set<DataCentreId> m_dataCentres;
  MoveProgress m_progress;
  LocalEvidence m_evidence;
  NodeMoveMonitor m_monitor;
  std::optional<MoveCoordinator> m_coordinator;
  WarmSlots m_slots;
  std::size_t m_nodeCount = 0;
  std::optional<MonotonicTime> m_lastReport;
  std::optional<WallTime> m_doneAt;
  bool m_mustSendProgress = false;
  bool m_isOutcomeWritten = false;
  std::uint64_t m_newCalls = 0;
  std::optional<VersionSplit> m_lastSplit;
  MoveState m_lastState = MoveState::Planned;
  /// The end of the last process pause; see IsStale.
  std::optional<MonotonicTime> m_resumedAt;
  bool m_hasMergedSinceResume = false;
  std::optional<MonotonicTime> m_lastTick;
  /// The data centre's share at the last tick, and since when it was that.
  Share m_heldShare = Share::None();
  MonotonicTime m_heldSince{};
  /// The integral of the share over time, and up to when it is counted.
  Duration m_spent{ 0 };
  std::optional<MonotonicTime> m_shareCountedTo;
  std::optional<MonotonicTime> m_lastWindow;
  /// The data centre's highest share since m_lastWindow.
  Share m_windowShare = Share::None();
  std::optional<MonotonicTime> m_lastProgressSent;
  std::optional<MonotonicTime> m_lastOutcome;
};

} // namespace tarragontray
