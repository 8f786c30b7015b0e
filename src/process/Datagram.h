/// \file
/// The messages that nodes exchange over UDP: probes with piggybacked state
/// updates.
///
/// process/DatagramLayout.h defines the order of the fields and
/// connection/DatagramCodec.h the encoding. An encoded datagram is at most
/// kMaxDatagramBytes long.
///
/// Thread safety: values.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/NetworkAddress.h"
#include "base/Units.h"
#include "process/MemberRecord.h"
#include "process/UsageReport.h"
#include "version/Document.h"
#include "version/DocumentPatch.h"
#include "version/EvidenceReport.h"
#include "version/MoveProgress.h"

namespace tarragontray {

/// Fits into one Ethernet frame together with the IP and UDP headers.
inline constexpr std::size_t kMaxDatagramBytes = 1400;

/// The first byte of every datagram. Each change of the layout increments it.
inline constexpr std::uint8_t kDatagramFormat = 5;

enum class DatagramKind : std::uint8_t
{
  /// Requests an Ack with the same probe number.
  Ping,
  Ack,
  /// Requests that the receiver ping m_target on the sender's behalf.
  IndirectPing,
  /// Carries state updates; not answered.
  Update,
};

/// Summarizes the documents that a node holds.
struct DocumentDigest
{
  /// Order-independent hash over (key, revision) of all documents.
  std::uint64_t m_hash = 0;
  /// The highest revision held.
  Revision m_highest;

  bool operator==(const DocumentDigest&) const = default;
};

/// Summarizes the gossip state of a node. Two digests are equal when the
/// states are, and differ with high probability when the states differ.
struct StateDigest
{
  /// Hash over the members that are not dead.
  std::uint32_t m_members = 0;
  DocumentDigest m_documents;
  std::uint32_t m_moves = 0;

  bool operator==(const StateDigest&) const = default;
};

/// The members that a spanning tree covers: those of its root's cell, or only
/// those of its root's data centre.
enum class SpreadScope : std::uint8_t
{
  Cell,
  DataCentre,
};

/// Identifies one spanning tree over the live members of a cell or a data
/// centre; see process/SpreadTree.h.
struct SpreadPath
{
  VmId m_root;
  std::uint32_t m_seed = 0;
  SpreadScope m_scope = SpreadScope::Cell;

  bool operator==(const SpreadPath&) const = default;
};

/// One UDP message.
struct Datagram
{
  DatagramKind m_kind = DatagramKind::Update;
  VmId m_from;
  std::uint32_t m_probe = 0;
  /// The member to probe; only for IndirectPing.
  VmId m_target;
  NetworkAddress m_targetAddress;
  /// When set, the receiver forwards the datagram along this tree.
  std::optional<SpreadPath> m_path;
  /// The sender's state. A receiver whose state differs schedules a pull.
  std::optional<StateDigest> m_digest;
  /// The documents that the root of the path held when the platform had just
  /// confirmed that they are current.
  std::optional<DocumentDigest> m_confirmed;
  std::vector<MemberRecord> m_members;
  std::vector<Document> m_documents;
  /// Changes of documents that are too large for a datagram.
  std::vector<DocumentPatch> m_patches;
  std::vector<MoveProgress> m_moves;
  std::vector<EvidenceReport> m_evidence;
  /// For the node that writes the ledger of the sender's data centre. May hold
  /// a part of the sender's pairs of accounts.
  std::vector<UsageReport> m_usage;
};

/// A datagram with its destination.
struct OutgoingDatagram
{
  NetworkAddress m_to;
  Datagram m_datagram;
};

} // namespace tarragontray
