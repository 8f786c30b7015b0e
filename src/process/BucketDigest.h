/// \file
/// Order-independent hashes over a keyed set, overall and by bucket, kept up to
/// date in constant time. Two nodes compare them to find what differs.
///
///     BucketDigest digest;
///     digest.Toggle(key, itemHash); // in
///     digest.Toggle(key, itemHash); // out again
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

/// The hash of one item: its key with up to two version numbers.
inline std::uint64_t
ItemHash(std::string_view aKey, std::uint64_t aMajor, std::uint64_t aMinor)
{
  constexpr std::uint64_t kMix = 0x9E3779B97F4A7C15U;
  return StableHash(aKey, aMajor * kMix + aMinor);
}

/// The bucket that a key belongs to.
inline std::size_t
BucketOf(std::string_view aKey)
{
  return StableHash(aKey) % kDigestBuckets;
}

/// Exclusive-or of item hashes; an item put in twice is out again.
class BucketDigest
{
public:
  void Toggle(std::string_view aKey, std::uint64_t aItemHash)
  {
    m_buckets[BucketOf(aKey)] ^= static_cast<std::uint32_t>(aItemHash);
    m_whole ^= aItemHash;
  }
  std::uint64_t Whole() const { return m_whole; }
  const BucketHashes& Buckets() const { return m_buckets; }

private:
  std::uint64_t m_whole = 0;
  BucketHashes m_buckets{};
};

} // namespace tarragontray
