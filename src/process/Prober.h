/// \file
/// Whom to probe and when: SWIM's failure detector with the local health of
/// Lifeguard.
///
/// One member at a time is probed, each once in a round of random order (Das,
/// Gupta and Motivala, 2002). A probe that stays unanswered is repeated and
/// helpers are asked to probe, too. A node whose own probes fail waits longer
/// (Dadgar, Phillips and Currey, 2017): more likely it is slow itself than all
/// the others are.
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
  /// Between the starts of two probes.
  Duration m_interval = std::chrono::seconds(1);
  /// Until an unanswered ping is repeated and helpers are asked.
  Duration m_timeout = std::chrono::milliseconds(250);
  std::size_t m_maxLocalHealth = 8;
};

/// What one tick asks for.
struct ProbeStep
{
  /// Send a Ping with m_number.
  std::optional<VmId> m_ping;
  std::uint32_t m_number = 0;
  /// Helpers are to probe m_ping, too.
  bool m_needsIndirectProbes = false;
  /// Did not answer in time.
  std::optional<VmId> m_failed;
};

/// One probe at a time over the members of a data centre.
class Prober
{
public:
  Prober(const ProbeSettings& aSettings, Random& aRandom);

  /// Precondition: aMembers is sorted and does not hold this node.
  ProbeStep Tick(MonotonicTime aNow, const std::vector<VmId>& aMembers);
  /// True when the number is that of the running probe.
  bool OnAck(std::uint32_t aNumber);
  /// A number for a ping outside the rounds.
  std::uint32_t NextNumber() { return ++m_lastNumber; }
  /// Drops the running probe: this node did not run for a while.
  void Restart(MonotonicTime aNow);
  /// This node was wrongly suspected: it may be slow itself.
  void Penalize();

  MonotonicTime NextTick() const { return m_next; }
  /// 0 for a healthy node; timeouts grow in proportion.
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
