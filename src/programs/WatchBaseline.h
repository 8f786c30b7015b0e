/// \file
/// The plain way to distribute configuration, for comparison: every node keeps
/// a watch at the platform.
///
/// The platform serves calls one after another at its stated rate. Each node
/// asks again as soon as it is answered.
///
///     WatchBaseline baseline(160);
///     baseline.Write(now, ByteCount(300));
///
/// Thread safety: one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/Units.h"

namespace tarragontray {

/// N nodes that watch, in virtual time.
class WatchBaseline
{
public:
  /// All nodes have their watch open.
  explicit WatchBaseline(std::size_t aNodes);

  /// A document is written. Precondition: times do not fall.
  void Write(Duration aAt, ByteCount aSize);
  /// All nodes return at aAt and list aDocuments of aSize each.
  void ReturnAll(Duration aAt, std::size_t aDocuments, ByteCount aSize);
  /// Answers all that waits.
  void Finish();

  /// From each write to each node that has it.
  const std::vector<Duration>& Delays() const { return m_delays; }
  std::uint64_t Calls() const { return m_calls; }
  /// Sent and received by all nodes.
  std::uint64_t Bytes() const { return m_bytes; }

private:
  struct Change
  {
    Duration m_at;
    ByteCount m_size;
  };

  /// Serves calls that start before aUntil.
  void ServeUntil(Duration aUntil);

  std::size_t m_nodes;
  std::vector<Change> m_changes;
  /// For each node: how many changes it has, and when its call arrives.
  std::vector<std::size_t> m_has;
  std::vector<Duration> m_callsAt;
  Duration m_freeAt{ 0 };
  std::vector<Duration> m_delays;
  std::uint64_t m_calls = 0;
  std::uint64_t m_bytes = 0;
};

} // namespace tarragontray
