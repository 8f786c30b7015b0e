#include "programs/WatchBaseline.h"

#include <algorithm>

namespace tarragontray {

namespace {

/// About two thousand reads a second.
constexpr Duration kServiceTime = std::chrono::microseconds(500);
constexpr Duration kOneWay = std::chrono::microseconds(1200);
/// Request and headers of one call, with TCP/IP headers of four segments.
constexpr std::uint64_t kCallBytes = 200 + 120 + 4 * 40;
/// JSON around one document.
constexpr std::uint64_t kDocumentBytes = 80;

} // namespace

WatchBaseline::WatchBaseline(std::size_t aNodes)
  : m_nodes(aNodes)
  , m_has(aNodes, 0)
  , m_callsAt(aNodes, Duration(0))
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
  std::fill(m_callsAt.begin(), m_callsAt.end(), aAt);
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
    // The node without the latest change whose call came first.
    std::size_t next = m_nodes;
    for (std::size_t node = 0; node < m_nodes; ++node) {
      const bool isWaiting = m_has[node] < m_changes.size();
      if (isWaiting && (next == m_nodes || m_callsAt[node] < m_callsAt[next])) {
        next = node;
      }
    }
    if (next == m_nodes) {
      return;
    }
    const Duration start =
      std::max({ m_freeAt, m_callsAt[next], m_changes[m_has[next]].m_at });
    if (start >= aUntil) {
      return;
    }
    m_freeAt = start + kServiceTime;
    const Duration received = m_freeAt + kOneWay;
    ++m_calls;
    m_bytes += kCallBytes;
    while (m_has[next] < m_changes.size() &&
           m_changes[m_has[next]].m_at <= start) {
      const Change& change = m_changes[m_has[next]++];
      m_delays.push_back(received - change.m_at);
      m_bytes += change.m_size.Value() + kDocumentBytes;
    }
    m_callsAt[next] = received + kOneWay;
  }
}

} // namespace tarragontray
