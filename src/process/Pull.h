/// \file
/// The messages of a pull: anti-entropy between two nodes over TCP.
///
/// The request contains a hash for each bucket of keys, and the answer the
/// entries of the buckets whose hashes differ. Merging an answer is idempotent,
/// so lost or repeated pulls are harmless.
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

/// The number of buckets into which keys are hashed for comparison.
inline constexpr std::size_t kDigestBuckets = 64;

/// One hash for each bucket.
using BucketHashes = std::array<std::uint32_t, kDigestBuckets>;

/// A version of a large document that the requesting node holds.
struct HeldDocument
{
  ObjectKey m_key;
  Revision m_revision;
};

/// Requests the entries that differ. Unset fields are not requested.
struct PullRequest
{
  VmId m_from;
  std::optional<BucketHashes> m_members;
  std::optional<BucketHashes> m_documents;
  /// Documents that the answer may bring up to date by patches.
  std::vector<HeldDocument> m_held;
  std::optional<std::uint32_t> m_moves;
};

/// The peer's entries in the buckets that differ.
struct PullAnswer
{
  /// True when the peer's budget for answers is used up. m_members is then a
  /// sample of other peers to ask, and the remaining fields are empty.
  bool m_busy = false;
  /// The highest revision that the requesting VM has reported to this peer.
  Revision m_floor;
  std::vector<MemberRecord> m_members;
  std::vector<Document> m_documents;
  /// In the order in which they apply.
  std::vector<DocumentPatch> m_patches;
  std::vector<MoveProgress> m_moves;
};

} // namespace tarragontray
