/// \file
/// What nodes tell each other over UDP: probes with piggybacked news.
///
/// The order of the fields is in process/DatagramLayout.h, the encoding in
/// connection/DatagramCodec.h. A datagram is at most kMaxDatagramBytes long
/// once encoded.
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
#include "version/Document.h"
#include "version/EvidenceReport.h"
#include "version/MoveProgress.h"

namespace tarragontray {

/// Fits one Ethernet frame with IP and UDP headers.
inline constexpr std::size_t kMaxDatagramBytes = 1400;

/// The first byte of every datagram; a change of the layout raises it.
inline constexpr std::uint8_t kDatagramFormat = 1;

/// What a datagram is for.
enum class DatagramKind : std::uint8_t
{
  /// Asks for an Ack with the same probe number.
  Ping,
  Ack,
  /// Asks the receiver to ping m_target on the sender's behalf.
  IndirectPing,
  /// Carries news and wants no answer.
  Update,
};

/// A short summary of the documents that a node holds.
struct DocumentDigest
{
  /// Order-independent hash over (key, revision) of all documents.
  std::uint64_t m_hash = 0;
  /// The highest revision held.
  Revision m_highest;

  bool operator==(const DocumentDigest&) const = default;
};

/// Summaries of all that a node holds; they differ when the states differ.
struct StateDigest
{
  /// Over the members that are not dead.
  std::uint32_t m_members = 0;
  DocumentDigest m_documents;
  std::uint32_t m_moves = 0;

  bool operator==(const StateDigest&) const = default;
};

/// Names one spanning tree over the live members of a data centre; see
/// process/SpreadTree.h.
struct SpreadPath
{
  VmId m_root;
  std::uint32_t m_seed = 0;

  bool operator==(const SpreadPath&) const = default;
};

/// One UDP message.
struct Datagram
{
  DatagramKind m_kind = DatagramKind::Update;
  VmId m_from;
  std::uint32_t m_probe = 0;
  /// For IndirectPing: who is to be probed.
  VmId m_target;
  NetworkAddress m_targetAddress;
  /// Set when the receiver forwards what is new to it along the tree.
  std::optional<SpreadPath> m_path;
  /// What the sender holds; the receiver pulls what it lacks.
  std::optional<StateDigest> m_digest;
  std::vector<MemberRecord> m_members;
  std::vector<Document> m_documents;
  std::vector<MoveProgress> m_moves;
  std::vector<EvidenceReport> m_evidence;
};

/// A datagram to send.
struct OutgoingDatagram
{
  NetworkAddress m_to;
  Datagram m_datagram;
};

} // namespace tarragontray
