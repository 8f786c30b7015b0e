/// \file
/// Spreads how far moves are.
///
/// Of each service only the move with the highest plan is kept, and progress
/// of one plan is joined (version/MoveProgress.h), so that the state is
/// bounded, only rises, and merges in any order. A change goes along a tree at
/// once, at most every m_minSpread for one service but for a veto, rides on
/// probes a bounded number of times, and is repaired by digests.
///
///     gossip.Offer(progress, now);   // from the coordinator
///     for (const MoveProgress& progress : gossip.TakeChanged()) { ... }
///
/// Thread safety: one thread (control) for each instance.
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
  /// Times that progress rides on probes.
  std::size_t m_retransmits = 6;
  /// Between two spreads of one service's progress.
  Duration m_minSpread = std::chrono::milliseconds(500);
  /// Up to this size progress is added to a probe.
  std::size_t m_probeBytes = 1200;
};

/// Where progress came from; decides whether it goes along a new tree.
enum class ProgressSource
{
  /// A tree, or the own data centre: a tree is or was on its way.
  Peer,
  OtherDataCentre,
};

/// The moves that one node knows of.
class MoveGossip
{
public:
  /// The topology outlives this object.
  MoveGossip(const MoveGossipSettings& aSettings, SpreadTopology& aTopology);

  /// The service's move is this one, whatever is held or comes of others: for
  /// orders whose numbers may fall.
  void SetCurrent(const MoveId& aMove);
  /// Joins own progress in. True when it was news.
  bool Offer(const MoveProgress& aProgress, MonotonicTime aNow);
  /// Joins what a datagram or the answer of a pull brought.
  void Merge(const std::vector<MoveProgress>& aMoves,
             ProgressSource aSource,
             MonotonicTime aNow);

  std::vector<OutgoingDatagram> Tick(MonotonicTime aNow);
  MonotonicTime NextTick() const;
  /// Adds news to a probe up to the size bound.
  void Fill(Datagram& aDatagram);

  const MoveProgress* Find(const MoveId& aMove) const;
  /// Progress that changed since the last call.
  std::vector<MoveProgress> TakeChanged();
  bool HasChanged() const { return !m_changed.empty(); }
  std::uint32_t Digest() const { return m_digest; }
  /// All moves, when the digests differ.
  std::vector<MoveProgress> MovesFor(std::uint32_t aTheirs) const;
  std::uint64_t Refused() const { return m_refused; }

private:
  struct Entry
  {
    MoveProgress m_progress;
    MonotonicTime m_spreadAt{};
  };

  /// Ended moves with higher numbers than their service's current one.
  static constexpr std::size_t kMaxRetired = 64;

  bool Join(const MoveProgress& aProgress);
  void ScheduleSpread(const ServiceId& aService, MonotonicTime aNow);
  std::vector<OutgoingDatagram> Send(const MoveProgress& aProgress);

  MoveGossipSettings m_settings;
  SpreadTopology* m_topology;
  std::map<ServiceId, Entry> m_moves;
  std::set<MoveId> m_retired;
  /// Services whose progress goes along a new tree, and when.
  std::map<ServiceId, MonotonicTime> m_scheduled;
  UpdateQueue<ServiceId> m_pendingUpdates;
  std::set<ServiceId> m_changed;
  std::uint32_t m_digest = 0;
  std::uint64_t m_refused = 0;
};

} // namespace tarragontray
