/// \file
/// Updates that are still to be piggybacked on datagrams.
///
/// Infection-style dissemination (Das, Gupta and Motivala, 2002): each update
/// is sent on O(log n) datagrams. Updates with the most transmissions left are
/// sent first.
///
///     queue.Add(vm, 6);
///     queue.Take([&](const VmId& aVm) { return PutIfItFits(aVm); });
///
/// Thread safety: one thread for each instance.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <vector>

namespace tarragontray {

/// The number of transmissions of an update among aMembers nodes.
inline std::size_t
RetransmitLimit(std::size_t aFactor, std::size_t aMembers)
{
  const double digits =
    std::ceil(std::log10(static_cast<double>(aMembers + 1)));
  return aFactor * std::max<std::size_t>(1, static_cast<std::size_t>(digits));
}

/// Keys with the number of transmissions left for each.
template<typename Key>
class UpdateQueue
{
public:
  /// Queues a key. Resets the count of a key that is already queued.
  void Add(const Key& aKey, std::size_t aTransmissions)
  {
    m_remaining[aKey] = aTransmissions;
  }
  void Remove(const Key& aKey) { m_remaining.erase(aKey); }
  bool IsEmpty() const { return m_remaining.empty(); }
  std::size_t Size() const { return m_remaining.size(); }

  /// Passes keys to aPut, those with the most transmissions left first, until
  /// aPut returns false for a key that does not fit.
  template<typename Put>
  void Take(Put aPut)
  {
    std::vector<typename std::map<Key, std::size_t>::iterator> order;
    order.reserve(m_remaining.size());
    for (auto item = m_remaining.begin(); item != m_remaining.end(); ++item) {
      order.push_back(item);
    }
    std::stable_sort(
      order.begin(), order.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft->second > aRight->second;
      });
    for (const auto& item : order) {
      if (!aPut(item->first)) {
        return;
      }
      if (--item->second == 0) {
        m_remaining.erase(item);
      }
    }
  }

private:
  std::map<Key, std::size_t> m_remaining;
};

} // namespace tarragontray
