#include "programs/WatchBaseline.h"

#include <algorithm>

namespace tarragontray {

namespace {

/// Service time of one call, for about two thousand reads per second.
constexpr Duration kServiceTime = std::chrono::microseconds(500);
/// Network latency in one direction.
constexpr Duration kOneWay = std::chrono::microseconds(1200);
/// Request and response headers of one call, with the TCP/IP headers of four
/// segments.
constexpr std::uint64_t kCallBytes = 200 + 120 + 4 * 40;
/// JSON framing of one document.
constexpr std::uint64_t kDocumentBytes = 80;

} // namespace

WatchBaseline::WatchBaseline(std::size_t aNodes)
  : m_nodes(aNodes)
  , m_received(aNodes, 0)
  , m_callArrivals(aNodes, Duration(0))
{
}

void
WatchBaseline::Write(Duration aAt, ByteCount aSize)
{
  ServeUntil(aAt);
  m_changes.push_back({ aAt, aSize });
}

void
WatchBaseline::ReturnAll(Duration aAt, std::size_t aDocuments, ByteCount aSize)
{
  ServeUntil(aAt);
  for (std::size_t i = 0; i < aDocuments; ++i) {
    m_changes.push_back({ aAt, aSize });
  }
  std::fill(m_callArrivals.begin(), m_callArrivals.end(), aAt);
}

void
WatchBaseline::Finish()
{
  ServeUntil(Duration::max());
}

void
WatchBaseline::ServeUntil(Duration aUntil)
{
  while (true) {
    // Of the nodes that lack a change, the one whose call arrived first.
    std::size_t next = m_nodes;
    for (std::size_t node = 0; node < m_nodes; ++node) {
      const bool isWaiting = m_received[node] < m_changes.size();
      if (isWaiting &&
          (next == m_nodes || m_callArrivals[node] < m_callArrivals[next])) {
        next = node;
      }
    }
    if (next == m_nodes) {
      return;
    }
    const Duration start = std::max({ m_serverFreeAt,
                                      m_callArrivals[next],
                                      m_changes[m_received[next]].m_at });
    if (start >= aUntil) {
      return;
    }
    m_serverFreeAt = start + kServiceTime;
    const Duration received = m_serverFreeAt + kOneWay;
    ++m_calls;
    m_bytes += kCallBytes;
    while (m_received[next] < m_changes.size() &&
           m_changes[m_received[next]].m_at <= start) {
      const Change& change = m_changes[m_received[next]++];
      m_delays.push_back(received - change.m_at);
      m_bytes += change.m_size.Value() + kDocumentBytes;
    }
    m_callArrivals[next] = received + kOneWay;
  }
}

} // namespace tarragontray
