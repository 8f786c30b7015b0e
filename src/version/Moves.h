/// \file
/// All moves of one node: the control thread's collection.
///
///     Result<Moves> moves = Moves::Create(settings, std::move(policy));
///     moves.value().SetPlans(plans, now);
///     moves.value().SetIsCoordinator(move, true);
///     moves.value().AddObservation(observation);
///     MoveActions actions = moves.value().Tick(now, wall);
///     std::optional<VersionSplit> split = moves.value().SplitOf(service);
///
/// Nobody leads a move: its pace is a function of the plan, the time and the
/// evidence, and progress is a join (version/MoveProgress.h), so that a move
/// goes on while the platform is down or a data centre is cut off.
///
/// A newer plan of a service replaces an older one; a plan that is gone gives
/// the service back to the configuration's live versions. Progress and vetoes
/// are kept for a time after that, and a vetoed move stays vetoed.
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

/// See the file comment.
class Moves
{
public:
  /// Errors: InvalidArgument when the VM, the data centre or the policy is
  /// missing, or an interval is not positive.
  static Result<Moves> Create(MovesSettings aSettings,
                              std::unique_ptr<MovePolicy> aPolicy);

  /// The plans of all configurations in force. Of two plans of one service the
  /// one with the higher number counts.
  void SetPlans(const std::vector<MovePlan>& aPlans, MonotonicTime aNow);
  /// The data centres that must be whole before a move is done.
  void SetDataCentres(std::set<DataCentreId> aDataCentres);
  /// Whether this node is the coordinator of the move in its data centre; see
  /// PickCoordinator. Unknown moves are ignored.
  void SetIsCoordinator(const MoveId& aMove, bool aOn);
  /// Warm slots of the move's versions within reach.
  void SetWarmSlots(const MoveId& aMove,
                    SlotCount aOldWarm,
                    SlotCount aNewWarm);

  /// What a traffic thread saw; observations of no moving service are ignored.
  void AddObservation(const LocalObservation& aObservation);
  /// Another node's evidence.
  void AddReport(const EvidenceReport& aReport, MonotonicTime aNow);
  /// Another node's progress. \return true when something new was learned.
  bool MergeProgress(const MoveProgress& aProgress, MonotonicTime aNow);
  /// The outcome is in the platform; it is not asked for again.
  void AcknowledgeOutcome(const MoveId& aMove);

  /// Judges, raises and reports.
  /// Precondition: neither time is earlier than at the last call.
  MoveActions Tick(MonotonicTime aNow, WallTime aWall);
  /// When Tick is to be called next at the latest; nothing without moves.
  std::optional<MonotonicTime> NextTick() const;

  /// The split of a moving service; nothing when no plan is in force.
  std::optional<VersionSplit> SplitOf(const ServiceId& aService) const;
  /// The moves in force, in order of their ids.
  std::vector<MoveStatus> Status(WallTime aWall) const;
  /// What the moves know, for a node that asks for everything.
  std::vector<MoveProgress> AllProgress() const;
  /// Plans and progress that were turned away because of a bound.
  std::uint64_t RejectedCount() const { return m_rejectedCount; }

private:
  /// A move, or what is kept of one that is not in force.
  struct Record
  {
    /// Null while only its progress is known.
    std::unique_ptr<Move> m_move;
    MoveProgress m_progress;
    bool m_isInForce = false;
    MonotonicTime m_lastInForce{};
  };

  Moves(MovesSettings aSettings, std::unique_ptr<MovePolicy> aPolicy);
  Record* FindOrCreate(const MoveId& aMove, MonotonicTime aNow);
  Move* FindInForce(const MoveId& aMove);
  void PutInForce(const MovePlan& aPlan, MonotonicTime aNow);
  void Expire(MonotonicTime aNow);

  /// On the heap, so that moves can refer to it when this object moves.
  std::unique_ptr<const MovesSettings> m_settings;
  std::unique_ptr<MovePolicy> m_policy;
  std::set<DataCentreId> m_dataCentres;
  std::map<MoveId, Record> m_records;
  /// The move in force of each service.
  std::map<ServiceId, MoveId> m_inForce;
  bool m_plansChanged = false;
  MonotonicTime m_lastTick{};
  std::uint64_t m_rejectedCount = 0;
};

} // namespace tarragontray
