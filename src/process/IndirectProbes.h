/// \file
/// The indirect probes that this node makes on behalf of other nodes, to
/// forward each Ack to the node that requested the probe.
///
///     probes.Add(ownNumber, { requester, requesterNumber });
///     std::optional<IndirectProbeRequest> request = probes.Take(ownNumber);
///
/// Thread safety: one thread for each instance.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/NetworkAddress.h"

namespace tarragontray {

/// A node that requested an indirect probe, and the probe number it uses.
struct IndirectProbeRequest
{
  NetworkAddress m_requester;
  std::uint32_t m_number = 0;
};

/// The latest requests, up to kMaxEntries; a new one evicts the oldest.
class IndirectProbes
{
public:
  void Add(std::uint32_t aOwnNumber, const IndirectProbeRequest& aRequest)
  {
    if (m_entries.size() == kMaxEntries) {
      m_entries.pop_front();
    }
    m_entries.push_back({ aOwnNumber, aRequest });
  }

  /// Removes and returns the request behind a probe; empty when there is none.
  std::optional<IndirectProbeRequest> Take(std::uint32_t aOwnNumber)
  {
    for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
      if (entry->m_ownNumber == aOwnNumber) {
        const IndirectProbeRequest request = entry->m_request;
        m_entries.erase(entry);
        return request;
      }
    }
    return std::nullopt;
  }

private:
  static constexpr std::size_t kMaxEntries = 64;

  struct Entry
  {
    std::uint32_t m_ownNumber;
    IndirectProbeRequest m_request;
  };

  std::deque<Entry> m_entries;
};

} // namespace tarragontray
