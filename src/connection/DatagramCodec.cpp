#include "connection/DatagramCodec.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "connection/CerealTypes.h"
#include "process/DatagramLayout.h"
#include "process/DatagramSize.h"

namespace tarragontray {

namespace {

/// Encodes the fields that Layout() of process/DatagramLayout.h lists.
class EncodingSink
{
public:
  explicit EncodingSink(std::string& aBytes)
    : m_writer(aBytes)
  {
  }

  void Number(std::uint64_t aNumber) { m_writer.PutNumber(aNumber); }
  void Text(const std::string& aText) { m_writer.PutText(aText); }
  void Shared(const std::string& aText)
  {
    const auto found = std::find(m_shared.begin(), m_shared.end(), aText);
    if (found != m_shared.end()) {
      Number(static_cast<std::uint64_t>(found - m_shared.begin()) + 1);
      return;
    }
    Number(0);
    Text(aText);
    if (m_shared.size() < kMaxSharedTexts) {
      m_shared.push_back(aText);
    }
  }

private:
  Writer m_writer;
  std::vector<std::string> m_shared;
};

/// Decodes a message. A shared text is encoded in full once and afterwards as
/// its index in the message, starting at 1.
class Source
{
public:
  explicit Source(std::string_view aBytes)
    : m_reader(aBytes)
  {
  }

  Reader& Values() { return m_reader; }
  std::string Shared()
  {
    const std::uint64_t number = m_reader.GetNumber();
    if (number > m_shared.size()) {
      m_reader.Fail();
      return {};
    }
    if (number > 0) {
      return m_shared[number - 1];
    }
    std::string text;
    m_reader.GetText(text);
    if (m_shared.size() < kMaxSharedTexts) {
      m_shared.push_back(text);
    }
    return text;
  }
  template<typename Tag>
  void Shared(StringId<Tag>& aId)
  {
    aId = StringId<Tag>(Shared());
  }

private:
  Reader m_reader;
  std::vector<std::string> m_shared;
};

void
Get(Source& aSource, ServiceId& aService)
{
  aSource.Shared(aService.m_owner);
  aSource.Shared(aService.m_name);
}

bool
GetFlag(Reader& aReader)
{
  const std::uint64_t flag = aReader.GetNumber();
  if (flag > 1) {
    aReader.Fail();
  }
  return flag == 1;
}

void
Get(Reader& aReader, DepartedUpstreams& aDeparted)
{
  const std::size_t count = aReader.GetCount();
  if (count > DepartedUpstreams::kMaxProcesses) {
    aReader.Fail();
    return;
  }
  for (std::size_t i = 0; i < count && !aReader.IsFailed(); ++i) {
    UpstreamProcess process;
    Get(aReader, process.m_instance);
    if (GetFlag(aReader)) {
      Get(aReader, process.m_birth.emplace());
    }
    aDeparted.Add(process);
  }
}

void
Get(Source& aSource, MemberRecord& aRecord)
{
  Reader& reader = aSource.Values();
  Get(reader, aRecord.m_vm);
  aSource.Shared(aRecord.m_dataCentre);
  aSource.Shared(aRecord.m_cell);
  aSource.Shared(aRecord.m_region);
  Get(reader, aRecord.m_peerAddress);
  Get(reader, aRecord.m_incarnation);
  Get(reader, aRecord.m_sequence);
  GetEnum(reader, aRecord.m_state, NodeState::Dead);
  Get(aSource, aRecord.m_upstream.m_service);
  aSource.Shared(aRecord.m_upstream.m_version);
  GetEnum(reader, aRecord.m_upstream.m_state, UpstreamState::Draining);
  Get(reader, aRecord.m_upstream.m_slots);
  Get(reader, aRecord.m_departed);
}

void
Get(Source& aSource, Document& aDocument)
{
  Get(aSource.Values(), aDocument.m_key);
  Get(aSource.Values(), aDocument.m_revision);
  Get(aSource.Values(), aDocument.m_version);
  Get(aSource.Values(), aDocument.m_created);
  Get(aSource.Values(), aDocument.m_body);
}

void
Get(Source& aSource, DocumentPatch& aPatch)
{
  Reader& reader = aSource.Values();
  Get(reader, aPatch.m_key);
  Get(reader, aPatch.m_base);
  Get(reader, aPatch.m_baseHash);
  Get(reader, aPatch.m_revision);
  Get(reader, aPatch.m_version);
  Get(reader, aPatch.m_created);
  Get(reader, aPatch.m_size);
  Get(reader, aPatch.m_hash);
  Get(reader, aPatch.m_bytes);
}

void
Get(Source& aSource, HeldDocument& aHeld)
{
  Get(aSource.Values(), aHeld.m_key);
  Get(aSource.Values(), aHeld.m_revision);
}

void
Get(Source& aSource, MoveId& aMove)
{
  Get(aSource, aMove.m_service);
  Get(aSource.Values(), aMove.m_plan);
}

void
Get(Source& aSource, Veto& aVeto)
{
  Get(aSource.Values(), aVeto.m_time);
  aSource.Shared(aVeto.m_dataCentre);
  aSource.Shared(aVeto.m_route);
  Get(aSource.Values(), aVeto.m_reason);
}

void
Get(Source& aSource, MoveProgress& aProgress)
{
  Reader& reader = aSource.Values();
  Get(aSource, aProgress.m_move);
  const std::size_t count = reader.GetCount();
  for (std::size_t i = 0; i < count && !reader.IsFailed(); ++i) {
    DataCentreId dataCentre;
    aSource.Shared(dataCentre);
    DataCentreProgress& progress = aProgress.m_dataCentres[dataCentre];
    Get(reader, progress.m_epoch);
    Get(reader, progress.m_share);
    if (GetFlag(reader)) {
      Get(reader, progress.m_fullShareSince.emplace());
    }
  }
  if (GetFlag(reader)) {
    Get(aSource, aProgress.m_veto.emplace());
  }
}

void
Get(Source& aSource, EvidenceEntry& aEntry)
{
  Reader& reader = aSource.Values();
  aSource.Shared(aEntry.m_route);
  aSource.Shared(aEntry.m_version);
  aSource.Shared(aEntry.m_target);
  Get(reader, aEntry.m_counters.m_calls);
  Get(reader, aEntry.m_counters.m_failures);
  Get(reader, aEntry.m_counters.m_callerErrors);
  for (std::uint32_t& count : aEntry.m_counters.m_latency) {
    Get(reader, count);
  }
}

template<typename T>
void
Get(Source& aSource, std::vector<T>& aItems)
{
  Reader& reader = aSource.Values();
  const std::size_t count = reader.GetCount();
  for (std::size_t i = 0; i < count && !reader.IsFailed(); ++i) {
    Get(aSource, aItems.emplace_back());
  }
}

void
Get(Source& aSource, EvidenceReport& aReport)
{
  Get(aSource, aReport.m_move);
  aSource.Shared(aReport.m_reporter);
  Get(aSource.Values(), aReport.m_incarnation);
  aSource.Shared(aReport.m_dataCentre);
  Get(aSource, aReport.m_entries);
}

void
Get(Source& aSource, UsageEntry& aEntry)
{
  Reader& reader = aSource.Values();
  aSource.Shared(aEntry.m_key.m_using);
  aSource.Shared(aEntry.m_key.m_owning);
  Get(reader, aEntry.m_usage.m_calls);
  const std::uint64_t slotTime = reader.GetNumber();
  if (slotTime > static_cast<std::uint64_t>(Duration::max().count())) {
    reader.Fail();
    return;
  }
  aEntry.m_usage.m_slotTime = Duration(slotTime);
}

void
Get(Source& aSource, UsageReport& aReport)
{
  aSource.Shared(aReport.m_vm);
  Get(aSource.Values(), aReport.m_incarnation);
  Get(aSource, aReport.m_entries);
}

void
Get(Source& aSource, SpreadPath& aPath)
{
  Get(aSource.Values(), aPath.m_root);
  Get(aSource.Values(), aPath.m_seed);
  GetEnum(aSource.Values(), aPath.m_scope, SpreadScope::DataCentre);
}

void
Get(Source& aSource, DocumentDigest& aDigest)
{
  Get(aSource.Values(), aDigest.m_hash);
  Get(aSource.Values(), aDigest.m_highest);
}

void
Get(Source& aSource, StateDigest& aDigest)
{
  Reader& reader = aSource.Values();
  Get(reader, aDigest.m_members);
  Get(aSource, aDigest.m_documents);
  Get(reader, aDigest.m_moves);
}

template<typename T>
void
GetOptional(Source& aSource, std::optional<T>& aValue)
{
  if (GetFlag(aSource.Values())) {
    Get(aSource, aValue.emplace());
  }
}

void
Get(Source& aSource, Datagram& aDatagram)
{
  Reader& reader = aSource.Values();
  GetEnum(reader, aDatagram.m_kind, DatagramKind::Update);
  Get(reader, aDatagram.m_from);
  Get(reader, aDatagram.m_probe);
  if (aDatagram.m_kind == DatagramKind::IndirectPing) {
    Get(reader, aDatagram.m_target);
    Get(reader, aDatagram.m_targetAddress);
  }
  GetOptional(aSource, aDatagram.m_path);
  GetOptional(aSource, aDatagram.m_digest);
  GetOptional(aSource, aDatagram.m_confirmed);
  Get(aSource, aDatagram.m_members);
  Get(aSource, aDatagram.m_documents);
  Get(aSource, aDatagram.m_patches);
  Get(aSource, aDatagram.m_moves);
  Get(aSource, aDatagram.m_evidence);
  Get(aSource, aDatagram.m_usage);
}

void
Get(Source& aSource, std::uint32_t& aNumber)
{
  Get(aSource.Values(), aNumber);
}

void
Get(Source& aSource, BucketHashes& aHashes)
{
  for (std::uint32_t& hash : aHashes) {
    Get(aSource.Values(), hash);
  }
}

void
Get(Source& aSource, PullRequest& aRequest)
{
  Get(aSource.Values(), aRequest.m_from);
  GetOptional(aSource, aRequest.m_members);
  GetOptional(aSource, aRequest.m_documents);
  Get(aSource, aRequest.m_held);
  GetOptional(aSource, aRequest.m_moves);
}

void
Get(Source& aSource, PullAnswer& aAnswer)
{
  aAnswer.m_busy = GetFlag(aSource.Values());
  Get(aSource.Values(), aAnswer.m_floor);
  Get(aSource, aAnswer.m_members);
  Get(aSource, aAnswer.m_documents);
  Get(aSource, aAnswer.m_patches);
  Get(aSource, aAnswer.m_moves);
}

template<typename T>
std::string
Encode(const T& aMessage)
{
  std::string bytes;
  EncodingSink sink(bytes);
  sink.Number(kDatagramFormat);
  Layout(sink, aMessage);
  return bytes;
}

template<typename T>
Result<T>
Decode(std::string_view aBytes, const char* aStep, std::string_view aPeer)
{
  Source source(aBytes);
  T message;
  const std::uint64_t format = source.Values().GetNumber();
  if (format != kDatagramFormat) {
    return Error(ErrorCode::Malformed,
                 aStep,
                 std::string(aPeer),
                 "unknown format " + std::to_string(format) + ", expected " +
                   std::to_string(kDatagramFormat));
  }
  Get(source, message);
  if (!source.Values().IsFullyRead()) {
    return Error(ErrorCode::Malformed,
                 aStep,
                 std::string(aPeer),
                 std::to_string(aBytes.size()) +
                   " bytes with a value out of range, a truncated end or "
                   "trailing bytes");
  }
  return message;
}

} // namespace

std::string
EncodeDatagram(const Datagram& aDatagram)
{
  return Encode(aDatagram);
}

Result<Datagram>
DecodeDatagram(std::string_view aBytes, std::string_view aPeer)
{
  return Decode<Datagram>(aBytes, "datagram.decode", aPeer);
}

std::string
EncodePullRequest(const PullRequest& aRequest)
{
  return Encode(aRequest);
}

Result<PullRequest>
DecodePullRequest(std::string_view aBytes, std::string_view aPeer)
{
  return Decode<PullRequest>(aBytes, "pull.decode-request", aPeer);
}

std::string
EncodePullAnswer(const PullAnswer& aAnswer)
{
  return Encode(aAnswer);
}

Result<PullAnswer>
DecodePullAnswer(std::string_view aBytes, std::string_view aPeer)
{
  return Decode<PullAnswer>(aBytes, "pull.decode-answer", aPeer);
}

} // namespace tarragontray
