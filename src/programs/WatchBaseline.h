/// \file
/// A model of the simplest way to distribute configuration, as a baseline for
/// comparison: every node keeps a watch at the platform.
///
/// The platform serves calls one after another, at its stated read rate. Each
/// node sends its next call as soon as it receives the response.
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

/// See the file comment. Times are virtual.
class WatchBaseline
{
public:
  /// The calls of all nodes have arrived at time 0.
  explicit WatchBaseline(std::size_t aNodes);

  /// Adds the write of a document of aSize at aAt.
  /// Precondition: the times of Write and ReturnAll calls do not decrease.
  void Write(Duration aAt, ByteCount aSize);
  /// All nodes reconnect at aAt and fetch aDocuments documents of aSize each.
  void ReturnAll(Duration aAt, std::size_t aDocuments, ByteCount aSize);
  /// Serves all pending calls.
  void Finish();

  /// Time from a write to its receipt by a node, one entry per write and node.
  const std::vector<Duration>& Delays() const { return m_delays; }
  std::uint64_t Calls() const { return m_calls; }
  /// Bytes sent and received by all nodes.
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
  /// By node: the number of changes received, and the arrival time of its call.
  std::vector<std::size_t> m_received;
  std::vector<Duration> m_callArrivals;
  /// When the platform has served the calls so far.
  Duration m_serverFreeAt{ 0 };
  std::vector<Duration> m_delays;
  std::uint64_t m_calls = 0;
  std::uint64_t m_bytes = 0;
};

} // namespace tarragontray
