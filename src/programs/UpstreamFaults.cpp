#include "programs/UpstreamFaults.h"

#include <algorithm>
#include <chrono>

#include <boost/json.hpp>

namespace tarragontray {

namespace {

namespace json = boost::json;

constexpr std::size_t kMaxRules = 64;
constexpr double kMaxSlowFactor = 10'000;
constexpr double kMaxTimeMs = 1e9;
constexpr double kMaxRunning = 1e6;

/// Reads a number from 0 to aMax.
bool
ReadNumber(const json::value& aValue, double aMax, double& aNumber)
{
  json::error_code error;
  const double number =
    aValue.is_number() ? aValue.to_number<double>(error) : -1;
  if (error || number < 0 || number > aMax) {
    return false;
  }
  aNumber = number;
  return true;
}

bool
ReadMilliseconds(const json::value& aValue, Duration& aDuration)
{
  double count = 0;
  if (!ReadNumber(aValue, kMaxTimeMs, count)) {
    return false;
  }
  aDuration = std::chrono::milliseconds(static_cast<std::int64_t>(count));
  return true;
}

bool
ReadField(std::string_view aName, const json::value& aValue, FaultRule& aRule)
{
  if (aName == "path" && aValue.is_string()) {
    aRule.m_path = std::string(aValue.get_string());
    return true;
  }
  if (aName == "fail") {
    return ReadNumber(aValue, 1, aRule.m_fail);
  }
  if (aName == "cut") {
    return ReadNumber(aValue, 1, aRule.m_cut);
  }
  if (aName == "slow") {
    return ReadNumber(aValue, kMaxSlowFactor, aRule.m_slow);
  }
  if (aName == "from_ms") {
    return ReadMilliseconds(aValue, aRule.m_from);
  }
  if (aName == "until_ms") {
    return ReadMilliseconds(aValue, aRule.m_until);
  }
  double calls = 0;
  if (aName == "above_running" && ReadNumber(aValue, kMaxRunning, calls)) {
    aRule.m_aboveRunning = static_cast<std::uint32_t>(calls);
    return true;
  }
  return false;
}

std::optional<FaultRule>
DecodeRule(const json::value& aValue)
{
  if (!aValue.is_object()) {
    return std::nullopt;
  }
  FaultRule rule;
  for (const auto& field : aValue.get_object()) {
    if (!ReadField(field.key(), field.value(), rule)) {
      return std::nullopt;
    }
  }
  return rule;
}

} // namespace

CallFaults
FaultsFor(const std::vector<FaultRule>& aRules,
          std::string_view aTarget,
          Duration aSinceSet,
          std::uint32_t aRunning)
{
  CallFaults faults;
  for (const FaultRule& rule : aRules) {
    const bool isApplicable =
      aTarget.starts_with(rule.m_path) && aSinceSet >= rule.m_from &&
      aSinceSet < rule.m_until && aRunning >= rule.m_aboveRunning;
    if (isApplicable) {
      faults.m_fail = std::max(faults.m_fail, rule.m_fail);
      faults.m_cut = std::max(faults.m_cut, rule.m_cut);
      faults.m_slow *= rule.m_slow;
    }
  }
  return faults;
}

std::optional<std::vector<FaultRule>>
DecodeFaultRules(std::string_view aText)
{
  json::error_code error;
  const json::value value = json::parse(aText, error);
  if (error || !value.is_array() || value.get_array().size() > kMaxRules) {
    return std::nullopt;
  }
  std::vector<FaultRule> rules;
  for (const json::value& item : value.get_array()) {
    auto rule = DecodeRule(item);
    if (!rule) {
      return std::nullopt;
    }
    rules.push_back(std::move(*rule));
  }
  return rules;
}

} // namespace tarragontray
