/// \file
/// Disseminates the progress of traffic moves to all nodes.
///
/// Each service keeps only the move with the highest plan number, and progress
/// of the same plan is joined (version/MoveProgress.h). The state is therefore
/// bounded and monotonic, and updates merge in any order.
///
/// A change is sent along a spread tree, at most once every m_minSpread for
/// each service; a veto is sent at once. The change is also piggybacked on a
/// bounded number of probes, and anti-entropy by digests repairs what is lost.
///
///     gossip.Offer(progress, now);   // from the coordinator
///     for (const MoveProgress& progress : gossip.TakeChanged()) { ... }
///
/// Thread safety: not thread-safe; each instance belongs to the control thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"
#include "process/Datagram.h"
#include "process/SpreadTree.h"
#include "process/UpdateQueue.h"
#include "version/MoveProgress.h"

namespace tarragontray {

struct MoveGossipSettings
{
  std::size_t m_maxServices = 1024;
  /// Number of probes on which each change is piggybacked.
  std::size_t m_retransmits = 6;
  /// Minimum time between two spreads of the same service's progress.
  Duration m_minSpread = std::chrono::milliseconds(500);
  /// Maximum size of a probe with piggybacked progress.
  std::size_t m_probeBytes = 1200;
};

/// The source of received progress; decides whether to start a new spread tree.
enum class ProgressSource
{
  /// A spread tree or a node in this data centre, where a tree already
  /// delivers the change.
  Peer,
  /// A node in another data centre: a new tree is needed.
  OtherDataCentre,
};

/// One node's replica of the progress of all moves.
class MoveGossip
{
public:
  /// Precondition: aTopology outlives this object.
  MoveGossip(const MoveGossipSettings& aSettings, SpreadTopology& aTopology);

  /// Makes aMove the service's current move even when a higher plan number is
  /// held, and ignores later updates of that higher plan. Orders need this
  /// since their plan numbers may decrease.
  void SetCurrent(const MoveId& aMove);
  /// Joins progress that this node made and schedules its spread. Returns
  /// whether anything changed.
  bool Offer(const MoveProgress& aProgress, MonotonicTime aNow);
  /// Joins progress from a datagram or from the answer to a pull.
  void Merge(const std::vector<MoveProgress>& aMoves,
             ProgressSource aSource,
             MonotonicTime aNow);

  std::vector<OutgoingDatagram> Tick(MonotonicTime aNow);
  MonotonicTime NextTick() const;
  /// Piggybacks pending changes on a probe, up to m_probeBytes.
  void Fill(Datagram& aDatagram);

  const MoveProgress* Find(const MoveId& aMove) const;
  /// The progress of all moves that changed since the last call.
  std::vector<MoveProgress> TakeChanged();
  bool HasChanged() const { return !m_changed.empty(); }
  std::uint32_t Digest() const { return m_digest; }
  /// All moves when a peer's digest differs from this node's, otherwise none.
  std::vector<MoveProgress> MovesFor(std::uint32_t aTheirs) const;
  /// The number of updates refused because m_maxServices was reached.
  std::uint64_t Refused() const { return m_refused; }

private:
  struct Entry
  {
    MoveProgress m_progress;
    MonotonicTime m_spreadAt{};
  };

  /// Bound on m_retired.
  static constexpr std::size_t kMaxRetired = 64;

  bool Join(const MoveProgress& aProgress);
  void ScheduleSpread(const ServiceId& aService, MonotonicTime aNow);
  std::vector<OutgoingDatagram> Send(const MoveProgress& aProgress);

  MoveGossipSettings m_settings;
  SpreadTopology* m_topology;
  std::map<ServiceId, Entry> m_moves;
  /// Moves that SetCurrent replaced although their plan numbers are higher.
  std::set<MoveId> m_retired;
  /// Services with a scheduled spread, and its due time.
  std::map<ServiceId, MonotonicTime> m_scheduled;
  UpdateQueue<ServiceId> m_pendingUpdates;
  std::set<ServiceId> m_changed;
  std::uint32_t m_digest = 0;
  std::uint64_t m_refused = 0;
};

} // namespace tarragontray
