/// \file
/// Order-independent hashes over a keyed set: one over all items and one for
/// each bucket. An insertion or removal updates them in constant time. Two
/// nodes compare them to find the keys in which they differ.
///
///     BucketDigest digest;
///     digest.Toggle(key, itemHash); // inserts
///     digest.Toggle(key, itemHash); // removes
///
/// Thread safety: one thread for each instance.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "base/Hash.h"
#include "process/Pull.h"

namespace tarragontray {

/// Hashes a key together with a two-part version number.
inline std::uint64_t
ItemHash(std::string_view aKey, std::uint64_t aMajor, std::uint64_t aMinor)
{
  constexpr std::uint64_t kMix = 0x9E3779B97F4A7C15U;
  return StableHash(aKey, aMajor * kMix + aMinor);
}

/// The index of a key's bucket, below kDigestBuckets.
inline std::size_t
BucketOf(std::string_view aKey)
{
  return StableHash(aKey) % kDigestBuckets;
}

/// The exclusive-or of item hashes. Toggling an item a second time removes it.
class BucketDigest
{
public:
  void Toggle(std::string_view aKey, std::uint64_t aItemHash)
  {
    m_buckets[BucketOf(aKey)] ^= static_cast<std::uint32_t>(aItemHash);
    m_total ^= aItemHash;
  }
  /// The hash over all items.
  std::uint64_t Total() const { return m_total; }
  const BucketHashes& Buckets() const { return m_buckets; }

private:
  std::uint64_t m_total = 0;
  BucketHashes m_buckets{};
};

} // namespace tarragontray
