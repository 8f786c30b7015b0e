/// \file
/// Whether a majority of the peers holds this node's membership record as it
/// is now.
///
/// Two needs are served by one round of pings that carry the record: a node
/// that has something to promise learns that it survives the loss of the
/// process, and a node that has just started learns from the answers what its
/// predecessor had promised. The two majorities overlap in at least one peer.
///
///     confirmations.SetWanted(true, now);
///     if (confirmations.TakeRound(now)) {
///       for (const VmId& peer : confirmations.Missing(peers)) {
///         confirmations.OnSent(number, peer);     // a ping with the record
///       }
///     }
///     confirmations.OnAck(number, peer);
///     bool isHeld = confirmations.HasMajority(peers);
///
/// Thread safety: one thread for each instance.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"

namespace tarragontray {

/// See the file comment.
class RecordConfirmations
{
public:
  /// Starts rounds when they are wanted and not running, or ends them.
  void SetWanted(bool aIsWanted, MonotonicTime aNow);
  /// The record has changed in what has to be confirmed: earlier confirmations
  /// no longer count.
  void Reset();

  /// The time of the next round; max() when no rounds are wanted.
  MonotonicTime NextTick() const;
  /// Whether a round is due; schedules the next one.
  bool TakeRound(MonotonicTime aNow);
  /// The peers that have not confirmed the record.
  std::vector<VmId> Missing(const std::vector<VmId>& aPeers) const;
  void OnSent(std::uint32_t aNumber, const VmId& aPeer);
  /// Counts the answer to a ping that was reported to OnSent() since the last
  /// Reset(); ignores others.
  void OnAck(std::uint32_t aNumber, const VmId& aPeer);

  /// Whether more than half of the peers have confirmed the record. False
  /// without peers.
  bool HasMajority(const std::vector<VmId>& aPeers) const;

private:
  bool m_isWanted = false;
  MonotonicTime m_next{};
  std::size_t m_rounds = 0;
  std::set<VmId> m_confirmed;
  /// Unanswered pings by number.
  std::map<std::uint32_t, VmId> m_sent;
};

} // namespace tarragontray
