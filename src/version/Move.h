/// \file
/// One move on one node: its progress, evidence, monitor and, while this node
/// has the role, its coordinator.
///
///     Move move(plan, context);
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

/// Who this node is, and its rates.
struct MovesSettings
{
  VmId m_vm;
  Incarnation m_incarnation;
  DataCentreId m_dataCentre;
  /// The time between windows of evidence.
  Duration m_windowInterval = std::chrono::seconds(1);
  /// The shortest time between reports of one move.
  Duration m_reportInterval = std::chrono::seconds(1);
  /// The time between repeats of progress by a coordinator.
  Duration m_refreshInterval = std::chrono::seconds(5);
  /// The time between tries to write an outcome.
  Duration m_outcomeInterval = std::chrono::seconds(5);
  /// Outcomes and vetoes are kept this long after the plan is gone.
  Duration m_retention = std::chrono::hours(48);
  /// Moves kept at once; further plans are turned away.
  std::size_t m_maxMoves = 256;
};

/// What a tick asks the caller to do.
struct MoveActions
{
  /// A split changed: publish a new view.
  bool m_splitsChanged = false;
  /// To spread to all nodes.
  std::vector<MoveProgress> m_progressUpdates;
  /// To send to the coordinator of the move in this data centre.
  std::vector<EvidenceReport> m_reports;
  /// To write to the platform; repeated until acknowledged.
  std::vector<MoveOutcome> m_outcomes;
};

/// See the file comment.
class Move
{
public:
  /// Precondition: settings and policy outlive the move.
  Move(const MovePlan& aPlan,
       const MovesSettings& aSettings,
       const MovePolicy& aPolicy);

  const MovePlan& Plan() const { return m_plan; }
  const MoveProgress& Progress() const { return m_progress; }

  /// The data centres that must be whole before the move is done.
  void SetDataCentres(const std::set<DataCentreId>& aDataCentres);
  void SetIsCoordinator(bool aOn);
  bool IsCoordinator() const { return m_coordinator.has_value(); }
  void SetWarmSlots(const WarmSlots& aSlots) { m_slots = aSlots; }

  void AddObservation(const LocalObservation& aObservation);
  void AddReport(const EvidenceReport& aReport);
  /// \return true when something new was learned.
  bool MergeProgress(const MoveProgress& aProgress);

  /// Judges, raises and reports. Precondition: times do not go back.
  void Tick(const Times& aTimes, MoveActions& aActions);

  /// The split of the service's calls now.
  VersionSplit Split() const;
  MoveStatus Status(WallTime aWall) const;
  /// The outcome is in the platform; stop repeating it.
  void AcknowledgeOutcome() { m_isOutcomeWritten = true; }

private:
  bool IsUndecided() const;
  bool HasFullShareEverywhere(Duration aHold, WallTime aWall) const;
  Share WarmSlotLimit() const;
  /// Notices a pause of this process, after which its progress may be stale.
  void CheckPause(MonotonicTime aNow);
  bool IsStale() const;
  /// What the data centre's progress says.
  Share DataCentreShare() const;
  /// What this node goes by, which may be less.
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
  std::optional<WallTime> m_doneAt;
  bool m_mustSendProgress = false;
  bool m_isOutcomeWritten = false;
  std::uint64_t m_newCalls = 0;
  std::optional<VersionSplit> m_lastSplit;
  /// Set from the end of a pause until the progress counts as fresh.
  std::optional<MonotonicTime> m_resumedAt;
  bool m_hasMergedSinceResume = false;
  std::optional<MonotonicTime> m_lastTick;
  std::optional<MonotonicTime> m_lastWindow;
  /// The data centre's highest share since then.
  Share m_windowShare = Share::None();
  std::optional<MonotonicTime> m_lastProgressSent;
  std::optional<MonotonicTime> m_lastOutcome;
};

} // namespace tarragontray
