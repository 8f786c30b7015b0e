/// \file
/// The order of fields in messages between nodes, shared by the encoder
/// (connection/DatagramCodec.cpp) and the size computation
/// (process/DatagramSize.h).
///
/// A sink has three operations: Number(n) for unsigned integers, Text(s) for
/// strings, and Shared(s) for strings that often repeat within one message:
/// only the first occurrence is written in full.
///
///     CountingSink sink;
///     Layout(sink, record);
///
/// Thread safety: pure functions, given one sink for each thread.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "process/Datagram.h"
#include "process/Pull.h"

namespace tarragontray {

/// The encoded form of a wall time: microseconds since the epoch, or zero for
/// earlier times.
inline std::uint64_t
WireMicroseconds(WallTime aTime)
{
  const auto count = std::chrono::duration_cast<std::chrono::microseconds>(
                       aTime.time_since_epoch())
                       .count();
  return count > 0 ? static_cast<std::uint64_t>(count) : 0;
}

template<typename Sink>
void
Layout(Sink& aSink, const NetworkAddress& aAddress)
{
  aSink.Number(aAddress.Ip());
  aSink.Number(aAddress.Port());
}

template<typename Sink>
void
Layout(Sink& aSink, const ServiceId& aService)
{
  aSink.Shared(aService.m_owner.Value());
  aSink.Shared(aService.m_name.Value());
}

template<typename Sink>
void
Layout(Sink& aSink, const DepartedUpstreams& aDeparted)
{
  aSink.Number(aDeparted.Processes().size());
  for (const UpstreamProcess& process : aDeparted.Processes()) {
    aSink.Text(process.m_instance.Value());
    aSink.Number(process.m_birth ? 1 : 0);
    if (process.m_birth) {
      aSink.Number(process.m_birth->Value());
    }
  }
}

template<typename Sink>
void
Layout(Sink& aSink, const MemberRecord& aRecord)
{
  aSink.Text(aRecord.m_vm.Value());
  aSink.Shared(aRecord.m_dataCentre.Value());
  aSink.Shared(aRecord.m_cell.Value());
  aSink.Shared(aRecord.m_region.Value());
  Layout(aSink, aRecord.m_peerAddress);
  aSink.Number(aRecord.m_incarnation.Value());
  aSink.Number(aRecord.m_sequence);
  aSink.Number(static_cast<std::uint64_t>(aRecord.m_state));
  Layout(aSink, aRecord.m_upstream.m_service);
  aSink.Shared(aRecord.m_upstream.m_version.Value());
  aSink.Number(static_cast<std::uint64_t>(aRecord.m_upstream.m_state));
  aSink.Number(aRecord.m_upstream.m_slots.Value());
  Layout(aSink, aRecord.m_departed);
}

template<typename Sink>
void
Layout(Sink& aSink, const Document& aDocument)
{
  aSink.Text(aDocument.m_key.Value());
  aSink.Number(aDocument.m_revision.Value());
  aSink.Number(aDocument.m_version.Value());
  aSink.Number(aDocument.m_created.Value());
  aSink.Text(aDocument.m_body);
}

template<typename Sink>
void
Layout(Sink& aSink, const DocumentPatch& aPatch)
{
  aSink.Text(aPatch.m_key.Value());
  aSink.Number(aPatch.m_base.Value());
  aSink.Number(aPatch.m_baseHash);
  aSink.Number(aPatch.m_revision.Value());
  aSink.Number(aPatch.m_version.Value());
  aSink.Number(aPatch.m_created.Value());
  aSink.Number(aPatch.m_size.Value());
  aSink.Number(aPatch.m_hash);
  aSink.Text(aPatch.m_bytes);
}

template<typename Sink>
void
Layout(Sink& aSink, const HeldDocument& aHeld)
{
  aSink.Text(aHeld.m_key.Value());
  aSink.Number(aHeld.m_revision.Value());
}

template<typename Sink>
void
Layout(Sink& aSink, const MoveId& aMove)
{
  Layout(aSink, aMove.m_service);
  aSink.Number(aMove.m_plan.Value());
}

template<typename Sink>
void
Layout(Sink& aSink, const Veto& aVeto)
{
  aSink.Number(WireMicroseconds(aVeto.m_time));
  aSink.Shared(aVeto.m_dataCentre.Value());
  aSink.Shared(aVeto.m_route.Value());
  aSink.Text(aVeto.m_reason);
}

template<typename Sink>
void
Layout(Sink& aSink, const MoveProgress& aProgress)
{
  Layout(aSink, aProgress.m_move);
  aSink.Number(aProgress.m_dataCentres.size());
  for (const auto& [dataCentre, progress] : aProgress.m_dataCentres) {
    aSink.Shared(dataCentre.Value());
    aSink.Number(progress.m_epoch.Value());
    aSink.Number(progress.m_share.Parts());
    aSink.Number(progress.m_fullShareSince ? 1 : 0);
    if (progress.m_fullShareSince) {
      aSink.Number(WireMicroseconds(*progress.m_fullShareSince));
    }
  }
  aSink.Number(aProgress.m_veto ? 1 : 0);
  if (aProgress.m_veto) {
    Layout(aSink, *aProgress.m_veto);
  }
}

template<typename Sink>
void
Layout(Sink& aSink, const EvidenceEntry& aEntry)
{
  aSink.Shared(aEntry.m_route.Value());
  aSink.Shared(aEntry.m_version.Value());
  aSink.Shared(aEntry.m_target.Value());
  aSink.Number(aEntry.m_counters.m_calls);
  aSink.Number(aEntry.m_counters.m_failures);
  aSink.Number(aEntry.m_counters.m_callerErrors);
  for (const std::uint32_t count : aEntry.m_counters.m_latency) {
    aSink.Number(count);
  }
}

template<typename Sink, typename T>
void
Layout(Sink& aSink, const std::vector<T>& aItems)
{
  aSink.Number(aItems.size());
  for (const T& item : aItems) {
    Layout(aSink, item);
  }
}

template<typename Sink>
void
Layout(Sink& aSink, const EvidenceReport& aReport)
{
  Layout(aSink, aReport.m_move);
  aSink.Shared(aReport.m_reporter.Value());
  aSink.Number(aReport.m_incarnation.Value());
  aSink.Shared(aReport.m_dataCentre.Value());
  Layout(aSink, aReport.m_entries);
}

template<typename Sink>
void
Layout(Sink& aSink, const UsageEntry& aEntry)
{
  aSink.Shared(aEntry.m_key.m_using.Value());
  aSink.Shared(aEntry.m_key.m_owning.Value());
  aSink.Number(aEntry.m_usage.m_calls.Value());
  aSink.Number(static_cast<std::uint64_t>(aEntry.m_usage.m_slotTime.count()));
}

template<typename Sink>
void
Layout(Sink& aSink, const UsageReport& aReport)
{
  aSink.Shared(aReport.m_vm.Value());
  aSink.Number(aReport.m_incarnation.Value());
  Layout(aSink, aReport.m_entries);
}

template<typename Sink>
void
Layout(Sink& aSink, const SpreadPath& aPath)
{
  aSink.Text(aPath.m_root.Value());
  aSink.Number(aPath.m_seed);
  aSink.Number(static_cast<std::uint64_t>(aPath.m_scope));
}

template<typename Sink>
void
Layout(Sink& aSink, const DocumentDigest& aDigest)
{
  aSink.Number(aDigest.m_hash);
  aSink.Number(aDigest.m_highest.Value());
}

template<typename Sink>
void
Layout(Sink& aSink, const StateDigest& aDigest)
{
  aSink.Number(aDigest.m_members);
  Layout(aSink, aDigest.m_documents);
  aSink.Number(aDigest.m_moves);
}

template<typename Sink>
void
Layout(Sink& aSink, std::uint32_t aNumber)
{
  aSink.Number(aNumber);
}

template<typename Sink>
void
Layout(Sink& aSink, const BucketHashes& aHashes)
{
  for (const std::uint32_t hash : aHashes) {
    aSink.Number(hash);
  }
}

template<typename Sink, typename T>
void
LayoutOptional(Sink& aSink, const std::optional<T>& aValue)
{
  aSink.Number(aValue ? 1 : 0);
  if (aValue) {
    Layout(aSink, *aValue);
  }
}

template<typename Sink>
void
Layout(Sink& aSink, const Datagram& aDatagram)
{
  aSink.Number(static_cast<std::uint64_t>(aDatagram.m_kind));
  aSink.Text(aDatagram.m_from.Value());
  aSink.Number(aDatagram.m_probe);
  if (aDatagram.m_kind == DatagramKind::IndirectPing) {
    aSink.Text(aDatagram.m_target.Value());
    Layout(aSink, aDatagram.m_targetAddress);
  }
  LayoutOptional(aSink, aDatagram.m_path);
  LayoutOptional(aSink, aDatagram.m_digest);
  LayoutOptional(aSink, aDatagram.m_confirmed);
  Layout(aSink, aDatagram.m_members);
  Layout(aSink, aDatagram.m_documents);
  Layout(aSink, aDatagram.m_patches);
  Layout(aSink, aDatagram.m_moves);
  Layout(aSink, aDatagram.m_evidence);
  Layout(aSink, aDatagram.m_usage);
}

template<typename Sink>
void
Layout(Sink& aSink, const PullRequest& aRequest)
{
  aSink.Text(aRequest.m_from.Value());
  LayoutOptional(aSink, aRequest.m_members);
  LayoutOptional(aSink, aRequest.m_documents);
  Layout(aSink, aRequest.m_held);
  LayoutOptional(aSink, aRequest.m_moves);
}

template<typename Sink>
void
Layout(Sink& aSink, const PullAnswer& aAnswer)
{
  aSink.Number(aAnswer.m_busy ? 1 : 0);
  aSink.Number(aAnswer.m_floor.Value());
  Layout(aSink, aAnswer.m_members);
  Layout(aSink, aAnswer.m_documents);
  Layout(aSink, aAnswer.m_patches);
  Layout(aSink, aAnswer.m_moves);
}

} // namespace tarragontray
