/// \file
/// A pull over TCP: a node asks a peer for what differs between them.
///
/// The request carries a hash for each bucket of keys; the answer holds the
/// entries of the buckets whose hashes differ. Merging an answer is
/// idempotent, so a lost or repeated pull does no harm.
///
/// Thread safety: values.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "process/Datagram.h"

namespace tarragontray {

/// Buckets that keys are hashed into for comparison.
inline constexpr std::size_t kDigestBuckets = 64;

/// One hash for each bucket.
using BucketHashes = std::array<std::uint32_t, kDigestBuckets>;

/// Asks for the entries that differ. What is not set is not asked for.
struct PullRequest
{
  VmId m_from;
  std::optional<BucketHashes> m_members;
  std::optional<BucketHashes> m_documents;
  std::optional<std::uint32_t> m_moves;
};

/// What the peer holds in the buckets that differ.
struct PullAnswer
{
  /// The peer's serving budget is spent: m_members is a sample of other peers
  /// to ask, and the rest is empty.
  bool m_busy = false;
  /// The highest revision that the asking VM was ever heard to hold.
  Revision m_floor;
  std::vector<MemberRecord> m_members;
  std::vector<Document> m_documents;
  std::vector<MoveProgress> m_moves;
};

} // namespace tarragontray
