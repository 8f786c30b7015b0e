/// \file
/// Whether a majority of the peers holds this node's membership record as it
/// is now.
///
/// Two needs are served by one round of pings that carry the record: a node
/// that has something to promise learns that it survives the loss of the
/// process, and a node that has just started learns from the answers what its
/// predecessor had promised. The two majorities overlap in at least one peer.
///
///     confirmations.SetNeed(ConfirmationNeed::Departure, now);
///     for (const VmId& peer : confirmations.TakeRound(peers, now)) {
///       confirmations.OnSent(number, peer);     // a ping with the record
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

/// What confirmations are needed for.
enum class ConfirmationNeed
{
  None,
  /// A node that has started learns its predecessor's departed upstreams,
  /// unless the platform tells them first.
  History,
  /// An upstream waits for the acknowledgement of its leave notice.
  Departure,
};

/// See the file comment.
class RecordConfirmations
{
public:
  /// Starts rounds when they are needed and not running, hurries them for a
  /// departure, or ends them.
  void SetNeed(ConfirmationNeed aNeed, MonotonicTime aNow);
  /// The record has changed in what has to be confirmed: earlier confirmations
  /// no longer count.
  void Reset();

  /// The time of the next round; max() when no rounds are needed.
  MonotonicTime NextTick() const;
  /// The peers to ping now: at most kMaxPings of those that have not confirmed
  /// the record, in turn; none when no round is due.
  /// Precondition: aPeers is sorted.
  std::vector<VmId> TakeRound(const std::vector<VmId>& aPeers,
                              MonotonicTime aNow);
  void OnSent(std::uint32_t aNumber, const VmId& aPeer);
  /// Counts the answer to a ping that was reported to OnSent() since the last
  /// Reset(); ignores others.
  void OnAck(std::uint32_t aNumber, const VmId& aPeer);

  /// Whether more than half of the peers have confirmed the record. False
  /// without peers.
  bool HasMajority(const std::vector<VmId>& aPeers) const;

  /// Bounds a round, since all nodes of a fleet may start together. A majority
  /// of 300 peers answers to the quick rounds for a departure.
  static constexpr std::size_t kMaxPings = 40;

private:
  ConfirmationNeed m_need = ConfirmationNeed::None;
  MonotonicTime m_next{};
  std::size_t m_rounds = 0;
  std::set<VmId> m_confirmed;
  /// The peer that was pinged last.
  VmId m_lastAsked;
  /// Unanswered pings by number.
  std::map<std::uint32_t, VmId> m_sent;
};

} // namespace tarragontray
