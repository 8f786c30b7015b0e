/// \file
/// All traffic shifts ("moves") between upstream versions that a node takes
/// part in. The control thread owns this collection.
///
///     Result<Moves> moves = Moves::Create(settings, std::move(policy));
///     moves.value().SetPlans(plans, now);
///     moves.value().SetIsCoordinator(move, true);
///     moves.value().AddObservation(observation);
///     MoveActions actions = moves.value().Tick(now, wall);
///     std::optional<VersionSplit> split = moves.value().SplitOf(service);
///
/// A move needs no leader election: its pace is a function of the plan, the
/// time and the evidence, a data centre may have any number of coordinators
/// (see version/MoveCoordinator.h), and progress is merged without consensus
/// (see version/MoveProgress.h). A move therefore continues while the platform
/// is down or a data centre is partitioned.
///
/// A newer plan for a service replaces an older one. When a plan is removed,
/// the service falls back to the configuration's live versions. Progress and
/// vetoes are retained for MovesSettings::m_retention after that, so that a
/// vetoed move stays vetoed if its plan returns.
///
/// Thread safety: the control thread only, for every method.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Units.h"
#include "version/Move.h"
#include "version/MovePolicy.h"
#include "version/MoveStatus.h"

namespace tarragontray {

/// All moves of one node; see the file comment.
class Moves
{
public:
  /// Errors: InvalidArgument if the VM, the data centre or the policy is
  /// missing, or if an interval is not positive.
  static Result<Moves> Create(MovesSettings aSettings,
                              std::unique_ptr<MovePolicy> aPolicy);

  /// Replaces the set of plans with those of all configurations in force. If a
  /// service has two plans, the one with the higher number is used.
  void SetPlans(const std::vector<MovePlan>& aPlans, MonotonicTime aNow);
  /// Sets the data centres that must reach the full share before a move is
  /// done.
  void SetDataCentres(std::set<DataCentreId> aDataCentres);
  /// Sets whether this node is the coordinator of the move in its data centre;
  /// see PickCoordinator. Ignores moves that are not in force.
  void SetIsCoordinator(const MoveId& aMove, bool aIsCoordinator);
  /// Sets the number of reachable warm slots of each version. Ignores moves
  /// that are not in force.
  void SetWarmSlots(const MoveId& aMove,
                    SlotCount aOldWarm,
                    SlotCount aNewWarm);

  /// Sets the number of nodes of this data centre, including those that failed
  /// recently. A coordinator raises the share and completes a move only while
  /// more than half of them report to it.
  void SetNodeCount(std::size_t aNodes);

  /// Records an observation of a traffic thread. Ignores observations of
  /// services without a move in force.
  void AddObservation(const LocalObservation& aObservation);
  /// Records another node's evidence.
  void AddReport(const EvidenceReport& aReport, MonotonicTime aNow);
  /// Merges another node's progress. \return true if the local progress
  /// changed.
  bool MergeProgress(const MoveProgress& aProgress, MonotonicTime aNow);
  /// Records that the outcome has been written to the platform, so that Tick
  /// stops returning it.
  void AcknowledgeOutcome(const MoveId& aMove);

  /// Evaluates the evidence of all moves, raises shares that are due and
  /// returns the messages to send.
  /// Precondition: neither time is earlier than in the previous call.
  MoveActions Tick(MonotonicTime aNow, WallTime aWall);
  /// The latest time for the next call of Tick; empty if there are no moves.
  std::optional<MonotonicTime> NextTick() const;

  /// The traffic split of a service; empty if it has no move in force.
  std::optional<VersionSplit> SplitOf(const ServiceId& aService) const;
  /// The status of the moves in force, ordered by id.
  std::vector<MoveStatus> Status(WallTime aWall) const;
  /// The progress of all moves, for a full state transfer to another node.
  std::vector<MoveProgress> AllProgress() const;
  /// The number of plans and progress messages rejected because
  /// MovesSettings::m_maxMoves moves were in force.
  std::uint64_t RejectedCount() const { return m_rejectedCount; }

private:
  /// A move in force, or the retained progress of one that is not.
  struct Record
  {
    /// Null while no plan has been received for the progress.
    std::unique_ptr<Move> m_move;
    MoveProgress m_progress;
    bool m_isInForce = false;
    MonotonicTime m_lastInForce{};
  };

  Moves(MovesSettings aSettings, std::unique_ptr<MovePolicy> aPolicy);
  Record* FindOrCreate(const MoveId& aMove, MonotonicTime aNow);
  /// Removes the move that ended first. \return false when all are in force.
  bool EvictEnded();
  Move* FindInForce(const MoveId& aMove);
  void PutInForce(const MovePlan& aPlan, MonotonicTime aNow);
  void Expire(MonotonicTime aNow);

  /// Heap-allocated, so that each Move's pointer to it stays valid when this
  /// object is moved.
  std::unique_ptr<const MovesSettings> m_settings;
  std::unique_ptr<MovePolicy> m_policy;
  std::set<DataCentreId> m_dataCentres;
  std::size_t m_nodeCount = 0;
  std::map<MoveId, Record> m_records;
  /// The move in force of each service.
  std::map<ServiceId, MoveId> m_inForce;
  bool m_plansChanged = false;
  MonotonicTime m_lastTick{};
  std::uint64_t m_rejectedCount = 0;
};

} // namespace tarragontray
