#include "programs/LoadMix.h"

#include <algorithm>
#include <cmath>

#include <boost/json.hpp>

namespace tarragontray {

namespace {

namespace json = boost::json;

constexpr double kMaxWeight = 1e6;
constexpr double kMaxBytes = 1U << 20U;
constexpr double kMaxTimeoutMs = 600'000;
constexpr std::size_t kMaxKinds = 64;

bool
ReadText(const json::value& aValue, std::string& aText)
{
  if (!aValue.is_string()) {
    return false;
  }
  aText = std::string(aValue.get_string());
  return true;
}

/// Returns nullopt unless aValue is a number between 0 and aMax.
std::optional<double>
ReadNumber(const json::value& aValue, double aMax)
{
  json::error_code error;
  const double number =
    aValue.is_number() ? aValue.to_number<double>(error) : -1;
  const bool isValid = !error && number >= 0 && number <= aMax;
  return isValid ? std::optional(number) : std::nullopt;
}

bool
ReadSize(const json::value& aValue, std::size_t& aSize)
{
  const auto number = ReadNumber(aValue, kMaxBytes);
  aSize = static_cast<std::size_t>(number.value_or(0));
  return number.has_value();
}

bool
ReadTextField(std::string_view aName,
              const json::value& aValue,
              CallKind& aKind)
{
  std::string text;
  if (!ReadText(aValue, text)) {
    return false;
  }
  if (aName == "account") {
    aKind.m_account = ClientAccountId(text);
  } else if (aName == "class") {
    aKind.m_class = ClassName(text);
  } else if (aName == "name") {
    aKind.m_name = text;
  } else if (aName == "method") {
    aKind.m_method = text;
  } else if (aName == "target") {
    aKind.m_target = text;
  } else {
    return false;
  }
  return true;
}

/// Returns false if the field is unknown or its value is invalid.
bool
ReadField(std::string_view aName, const json::value& aValue, CallKind& aKind)
{
  if (aName == "idempotent" && aValue.is_bool()) {
    aKind.m_isIdempotent = aValue.get_bool();
    return true;
  }
  if (aName == "body_bytes") {
    return ReadSize(aValue, aKind.m_bodyBytes);
  }
  if (aName == "answer_bytes") {
    return ReadSize(aValue, aKind.m_answerBytes);
  }
  if (aName == "weight") {
    const auto weight = ReadNumber(aValue, kMaxWeight);
    aKind.m_weight = weight.value_or(0);
    return weight.has_value();
  }
  if (aName == "timeout_ms") {
    const auto timeout = ReadNumber(aValue, kMaxTimeoutMs);
    aKind.m_timeout =
      std::chrono::milliseconds(static_cast<std::int64_t>(timeout.value_or(0)));
    return timeout.has_value();
  }
  return ReadTextField(aName, aValue, aKind);
}

std::optional<CallKind>
DecodeKind(const json::value& aValue)
{
  if (!aValue.is_object()) {
    return std::nullopt;
  }
  CallKind kind;
  for (const auto& field : aValue.get_object()) {
    if (!ReadField(field.key(), field.value(), kind)) {
      return std::nullopt;
    }
  }
  const bool isValid = !kind.m_name.empty() && !kind.m_account.IsEmpty() &&
                       kind.m_target.starts_with('/') &&
                       kind.m_timeout > Duration::zero();
  return isValid ? std::optional(std::move(kind)) : std::nullopt;
}

} // namespace

std::optional<std::vector<CallKind>>
DecodeMix(std::string_view aText)
{
  json::error_code error;
  const json::value value = json::parse(aText, error);
  if (error || !value.is_array() || value.get_array().size() > kMaxKinds) {
    return std::nullopt;
  }
  std::vector<CallKind> mix;
  double weight = 0;
  for (const json::value& item : value.get_array()) {
    auto kind = DecodeKind(item);
    if (!kind) {
      return std::nullopt;
    }
    weight += kind->m_weight;
    mix.push_back(std::move(*kind));
  }
  return weight > 0 ? std::optional(std::move(mix)) : std::nullopt;
}

ArrivalSequence::ArrivalSequence(const std::vector<CallKind>& aMix,
                                 double aRate,
                                 std::uint64_t aSeed)
  : m_rate(aRate)
  , m_random(aSeed)
{
  double sum = 0;
  for (const CallKind& kind : aMix) {
    sum += kind.m_weight;
    m_cumulativeWeights.push_back(sum);
  }
}

Arrival
ArrivalSequence::Next()
{
  constexpr double kNanosecondsPerSecond = 1e9;
  const double gap = -std::log(1 - m_random.Fraction()) / m_rate;
  m_offset += Duration(static_cast<std::int64_t>(gap * kNanosecondsPerSecond));
  const double drawn = m_random.Fraction() * m_cumulativeWeights.back();
  const auto found = std::upper_bound(
    m_cumulativeWeights.begin(), m_cumulativeWeights.end(), drawn);
  return { m_offset,
           static_cast<std::size_t>(found - m_cumulativeWeights.begin()) };
}

} // namespace tarragontray
