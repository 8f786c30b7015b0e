/// \file
/// JSON encoding of standin-upstream: its announcement, its counts and the
/// faults of its announcement.
///
///     std::string text = EncodeReport(report);
///
/// Thread safety: pure functions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/Ids.h"
#include "base/NetworkAddress.h"
#include "base/Units.h"
#include "programs/StandinUpstream.h"

namespace tarragontray {

/// An upstream's announcement to its node (docs/PROTOCOLS.md).
struct StandinReport
{
  ServiceId m_service;
  UpstreamVersion m_version;
  std::string m_state;
  SlotCount m_slots{ 0 };
  NetworkAddress m_address;
  std::uint32_t m_running = 0;
};

/// The answer to `GET /executions/count`.
struct UpstreamCounts
{
  std::uint64_t m_executions = 0;
  std::uint64_t m_repeated = 0;
  std::uint32_t m_running = 0;
  std::uint64_t m_shed = 0;
};

std::string
EncodeReport(const StandinReport& aReport);

std::string
EncodeCounts(const UpstreamCounts& aCounts);

/// Returns nullopt when aText is not a JSON object or when a field is unknown
/// or has an invalid value.
std::optional<ReportFaults>
DecodeReportFaults(std::string_view aText);

} // namespace tarragontray
