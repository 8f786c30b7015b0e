/// \file
/// The schedule of probes: SWIM's failure detector with Lifeguard's local
/// health multiplier.
///
/// Probes one member at a time, each member once per round in random order
/// (Das, Gupta and Motivala, 2002). An unanswered ping is repeated, and other
/// members are asked for indirect probes. A node whose probes fail extends its
/// own timeouts (Dadgar, Phillips and Currey, 2017), because it is more likely
/// to be slow itself than all its peers are.
///
///     ProbeStep step = prober.Tick(now, members);
///     if (step.m_ping) { SendPing(*step.m_ping, step.m_number); }
///
/// Thread safety: one thread for each instance.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/Ids.h"
#include "base/Random.h"
#include "base/Units.h"

namespace tarragontray {

struct ProbeSettings
{
  /// Time between the starts of two probes.
  Duration m_interval = std::chrono::seconds(1);
  /// Time until an unanswered ping is repeated and indirect probes are
  /// requested.
  Duration m_timeout = std::chrono::milliseconds(250);
  /// The upper limit of LocalHealth().
  std::size_t m_maxLocalHealth = 8;
};

/// What the caller does after one tick.
struct ProbeStep
{
  /// The member to ping with probe number m_number.
  std::optional<VmId> m_ping;
  std::uint32_t m_number = 0;
  /// Whether to request indirect probes of m_ping from other members.
  bool m_needsIndirectProbes = false;
  /// The member whose probe has failed.
  std::optional<VmId> m_failed;
};

/// Schedules the probes of one node.
class Prober
{
public:
  Prober(const ProbeSettings& aSettings, Random& aRandom);

  /// Precondition: aMembers is sorted and does not contain this node.
  ProbeStep Tick(MonotonicTime aNow, const std::vector<VmId>& aMembers);
  /// Ends the running probe. Returns false when aNumber is not its number.
  bool OnAck(std::uint32_t aNumber);
  /// A new probe number, for a ping outside the rounds.
  std::uint32_t NextNumber() { return ++m_lastNumber; }
  /// Discards the running probe after a pause of this process, and schedules
  /// the next one for aNow.
  void Restart(MonotonicTime aNow);
  /// Extends the timeouts after peers wrongly suspected this node, which may
  /// be slow itself.
  void Penalize();

  MonotonicTime NextTick() const { return m_next; }
  /// Lifeguard's local health score: 0 for a healthy node. Timeouts are
  /// multiplied by 1 plus this score.
  std::size_t LocalHealth() const { return m_localHealth; }

private:
  Duration Scaled(Duration aDuration) const;
  ProbeStep Begin(MonotonicTime aNow, const std::vector<VmId>& aMembers);
  ProbeStep Repeat(MonotonicTime aNow);
  std::optional<VmId> NextMember(const std::vector<VmId>& aMembers);

  ProbeSettings m_settings;
  Random* m_random;
  std::vector<VmId> m_round;
  std::uint32_t m_lastNumber = 0;
  std::size_t m_localHealth = 0;
  MonotonicTime m_next{};
  MonotonicTime m_end{};
  std::optional<VmId> m_target;
  std::uint32_t m_number = 0;
  std::size_t m_pings = 0;
};

} // namespace tarragontray
