#include "programs/StandinReport.h"

#include <chrono>
#include <limits>

#include <boost/json.hpp>

namespace tarragontray {

namespace {

namespace json = boost::json;

std::optional<std::uint32_t>
DecodeCount(const json::value& aValue)
{
  const bool isCount =
    aValue.is_int64() && aValue.get_int64() >= 0 &&
    aValue.get_int64() <= std::numeric_limits<std::uint32_t>::max();
  return isCount ? std::optional(static_cast<std::uint32_t>(aValue.get_int64()))
                 : std::nullopt;
}

bool
SetField(std::string_view aName,
         const json::value& aValue,
         ReportFaults& aFaults)
{
  if (aName == "state" && aValue.is_string()) {
    aFaults.m_state = std::string(aValue.get_string());
    return true;
  }
  const auto count = DecodeCount(aValue);
  if (!count) {
    return false;
  }
  if (aName == "lag_ms") {
    aFaults.m_lag = std::chrono::milliseconds(*count);
    return true;
  }
  aFaults.m_running = *count;
  return aName == "running";
}

} // namespace

std::string
EncodeReport(const StandinReport& aReport)
{
  return json::serialize(
    json::object{ { "account", aReport.m_service.m_owner.Value() },
                  { "service", aReport.m_service.m_name.Value() },
                  { "version", aReport.m_version.Value() },
                  { "state", aReport.m_state },
                  { "slots", aReport.m_slots.Value() },
                  { "address", aReport.m_address.ToString() },
                  { "running", aReport.m_running } });
}

std::string
EncodeCounts(const UpstreamCounts& aCounts)
{
  return json::serialize(json::object{ { "executions", aCounts.m_executions },
                                       { "repeated", aCounts.m_repeated },
                                       { "running", aCounts.m_running },
                                       { "shed", aCounts.m_shed } });
}

std::optional<ReportFaults>
DecodeReportFaults(std::string_view aText)
{
  json::error_code error;
  const json::value value = json::parse(aText, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  ReportFaults faults;
  for (const auto& field : value.get_object()) {
    if (!SetField(field.key(), field.value(), faults)) {
      return std::nullopt;
    }
  }
  return faults;
}

} // namespace tarragontray
