/// \file
/// Probes made on behalf of others: who gets the answer.
///
///     probes.Add(myNumber, { requester, theirNumber }, now);
///     std::optional<IndirectProbeRequest> request = probes.Take(myNumber);
///
/// Thread safety: one thread for each instance.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/NetworkAddress.h"

namespace tarragontray {

/// A node that asked for a probe, and its own number for it.
struct IndirectProbeRequest
{
  NetworkAddress m_requester;
  std::uint32_t m_number = 0;
};

/// The latest requests; the oldest gives way when there are too many.
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

  /// The request that the probe was for, once.
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
