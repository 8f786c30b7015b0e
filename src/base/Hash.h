/// \file
/// Hashes that are equal on every VM, and rendezvous ranking based on them.
///
///     std::vector<VmId> relays = TopRanked("relays", vms, 3);
///
/// Thread safety: pure functions.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace tarragontray {

/// XXH64 of the bytes. Thread safety: any thread.
std::uint64_t
StableHash(std::string_view aBytes, std::uint64_t aSeed = 0);

/// The aCount members that rank highest for aPurpose, highest first; all
/// members when there are fewer. Rendezvous hashing (Thaler and Ravishankar,
/// 1998): removing a member does not change the relative order of the other
/// members. Id::Value() must return text. Thread safety: any thread.
template<typename Id>
std::vector<Id>
TopRanked(std::string_view aPurpose,
          const std::vector<Id>& aMembers,
          std::size_t aCount)
{
  const std::uint64_t seed = StableHash(aPurpose);
  std::vector<std::pair<std::uint64_t, const Id*>> ranked;
  ranked.reserve(aMembers.size());
  for (const Id& member : aMembers) {
    ranked.emplace_back(StableHash(member.Value(), seed), &member);
  }
  const std::size_t count = std::min(aCount, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.first != aRight.first
                               ? aLeft.first > aRight.first
                               : *aLeft.second < *aRight.second;
                    });
  std::vector<Id> top;
  top.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    top.push_back(*ranked[i].second);
  }
  return top;
}

} // namespace tarragontray
