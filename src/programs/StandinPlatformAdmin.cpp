#include "programs/StandinPlatformAdmin.h"

#include <chrono>
#include <limits>

#include <boost/json.hpp>

namespace tarragontray {

namespace {

namespace json = boost::json;

constexpr std::string_view kOutageNames[] = { "no", "refuse", "error" };

std::int64_t
Milliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

bool
SetOutage(const json::value& aValue, Outage& aOutage)
{
  if (!aValue.is_string()) {
    return false;
  }
  for (std::size_t i = 0; i < std::size(kOutageNames); ++i) {
    if (std::string_view(aValue.get_string()) == kOutageNames[i]) {
      aOutage = static_cast<Outage>(i);
      return true;
    }
  }
  return false;
}

bool
SetNumber(const json::value& aValue, std::uint32_t& aNumber)
{
  const bool isNumber =
    aValue.is_int64() && aValue.get_int64() >= 0 &&
    aValue.get_int64() <= std::numeric_limits<std::uint32_t>::max();
  if (isNumber) {
    aNumber = static_cast<std::uint32_t>(aValue.get_int64());
  }
  return isNumber;
}

bool
SetMilliseconds(const json::value& aValue, Duration& aDuration)
{
  std::uint32_t count = 0;
  const bool isNumber = SetNumber(aValue, count);
  if (isNumber) {
    aDuration = std::chrono::milliseconds(count);
  }
  return isNumber;
}

bool
SetField(std::string_view aName,
         const json::value& aValue,
         PlatformFaults& aFaults)
{
  if (aName == "down") {
    return SetOutage(aValue, aFaults.m_outage);
  }
  if (aName == "slow_ms") {
    return SetMilliseconds(aValue, aFaults.m_slowness);
  }
  if (aName == "lose_answers") {
    return SetNumber(aValue, aFaults.m_lostAnswers);
  }
  if (aName == "stale_ms") {
    return SetMilliseconds(aValue, aFaults.m_staleness);
  }
  if (aName == "reads_per_second") {
    return SetNumber(aValue, aFaults.m_readsPerSecond);
  }
  if (aName == "writes_per_second") {
    return SetNumber(aValue, aFaults.m_writesPerSecond);
  }
  if (aName == "silent_watches" && aValue.is_bool()) {
    aFaults.m_areWatchesSilent = aValue.get_bool();
    return true;
  }
  return false;
}

} // namespace

std::string
EncodeCounts(const PlatformCounts& aCounts)
{
  return json::serialize(json::object{ { "reads", aCounts.m_reads },
                                       { "lists", aCounts.m_lists },
                                       { "writes", aCounts.m_writes },
                                       { "watches", aCounts.m_watches },
                                       { "conflicts", aCounts.m_conflicts },
                                       { "limited", aCounts.m_limited },
                                       { "malformed", aCounts.m_malformed } });
}

std::string
EncodeFaults(const PlatformFaults& aFaults)
{
  const auto outage = static_cast<std::size_t>(aFaults.m_outage);
  return json::serialize(
    json::object{ { "down", kOutageNames[outage] },
                  { "slow_ms", Milliseconds(aFaults.m_slowness) },
                  { "lose_answers", aFaults.m_lostAnswers },
                  { "silent_watches", aFaults.m_areWatchesSilent },
                  { "stale_ms", Milliseconds(aFaults.m_staleness) },
                  { "reads_per_second", aFaults.m_readsPerSecond },
                  { "writes_per_second", aFaults.m_writesPerSecond } });
}

std::optional<PlatformFaults>
DecodeFaults(std::string_view aText, const PlatformFaults& aCurrent)
{
  json::error_code error;
  const json::value value = json::parse(aText, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  PlatformFaults faults = aCurrent;
  for (const auto& field : value.get_object()) {
    if (!SetField(field.key(), field.value(), faults)) {
      return std::nullopt;
    }
  }
  return faults;
}

std::optional<Duration>
DecodeRestore(std::string_view aText)
{
  json::error_code error;
  const json::value value = json::parse(aText, error);
  const json::value* age = !error && value.is_object()
                             ? value.get_object().if_contains("age_ms")
                             : nullptr;
  Duration duration{ 0 };
  const bool isValid = age != nullptr && SetMilliseconds(*age, duration);
  return isValid ? std::optional(duration) : std::nullopt;
}

} // namespace tarragontray
