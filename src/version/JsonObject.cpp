#include "version/JsonObject.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include <boost/json.hpp>

#include "base/TimeText.h"

namespace tarragontray {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxDepth = 8;
constexpr std::int64_t kLongestMs = 1'000'000'000'000; // some 31 years
constexpr std::string_view kParameterKey = "parameter";

std::optional<ParameterValue>
ToScalar(const json::value& aValue)
{
  switch (aValue.kind()) {
    case json::kind::bool_:
      return aValue.get_bool();
    case json::kind::int64:
      return aValue.get_int64();
    case json::kind::double_:
      // A number too large for a double reads as infinite, which JSON can't
      // say again.
      return std::isfinite(aValue.get_double())
               ? std::optional<ParameterValue>(aValue.get_double())
               : std::nullopt;
    case json::kind::string:
      return std::string(aValue.get_string());
    default:
      return std::nullopt;
  }
}

} // namespace

std::optional<Error>
ParseJson(std::string_view aText,
          std::size_t aMaxBytes,
          std::string_view aStep,
          const std::function<void(const json::value&)>& aUse)
{
  if (aText.size() > aMaxBytes) {
    return Error(ErrorCode::TooLarge,
                 std::string(aStep),
                 "",
                 std::to_string(aText.size()) + " bytes, at most " +
                   std::to_string(aMaxBytes));
  }
  json::parse_options options;
  options.allow_comments = true;
  options.max_depth = kMaxDepth;
  json::error_code code;
  const json::value value =
    json::parse({ aText.data(), aText.size() }, code, {}, options);
  if (code) {
    return Error(ErrorCode::Malformed,
                 std::string(aStep),
                 "",
                 "not JSON: " + code.message());
  }
  aUse(value);
  return std::nullopt;
}

JsonObject::JsonObject(const json::value& aValue,
                       std::string aPath,
                       FieldErrors& aErrors)
  : m_object(aValue.if_object())
  , m_path(std::move(aPath))
  , m_errors(aErrors)
{
  m_errors.Check(m_object != nullptr, m_path, "is not an object");
}

std::string
JsonObject::Path(std::string_view aName) const
{
  return m_path + "." + std::string(aName);
}

const json::value*
JsonObject::Find(std::string_view aName)
{
  m_read.emplace_back(aName);
  return m_object ? m_object->if_contains({ aName.data(), aName.size() })
                  : nullptr;
}

const json::value*
JsonObject::Require(std::string_view aName)
{
  const json::value* value = Find(aName);
  m_errors.Check(value != nullptr, Path(aName), "is missing");
  return value;
}

std::string
JsonObject::Text(std::string_view aName)
{
  std::string text;
  if (const json::value* value = Require(aName)) {
    ReadLiteral(*value, aName, text);
  }
  return text;
}

std::uint64_t
JsonObject::Number(std::string_view aName)
{
  constexpr NumberRange kRange{ 0, std::numeric_limits<std::int64_t>::max() };
  const json::value* value = Require(aName);
  return value ? static_cast<std::uint64_t>(WholeNumber(*value, aName, kRange))
               : 0;
}

WallTime
JsonObject::Time(std::string_view aName)
{
  const Result<WallTime> time = ParseWallTime(Text(aName));
  if (!time) {
    m_errors.Add(Path(aName), time.error().Detail());
    return {};
  }
  return time.value();
}

Duration
JsonObject::Milliseconds(std::string_view aName)
{
  Duration duration{ 0 };
  if (const json::value* value = Require(aName)) {
    ReadLiteral(*value, aName, duration);
  }
  return duration;
}

std::optional<ParameterValue>
JsonObject::Scalar(std::string_view aName)
{
  const json::value* value = Find(aName);
  if (!value) {
    return std::nullopt;
  }
  std::optional<ParameterValue> scalar = ToScalar(*value);
  m_errors.Check(
    scalar.has_value(), Path(aName), "is not a number, text or boolean");
  return scalar;
}

void
JsonObject::Each(
  std::string_view aName,
  const std::function<void(const json::value&, const std::string&)>& aEach)
{
  const json::value* value = Find(aName);
  if (!value) {
    return;
  }
  const json::array* list = value->if_array();
  if (!list) {
    m_errors.Add(Path(aName), "is not a list");
    return;
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    aEach((*list)[i], ElementPath(Path(aName), i));
  }
}

void
JsonObject::ForEachScalar(
  std::string_view aName,
  const std::function<void(std::string, ParameterValue)>& aEach)
{
  const json::value* value = Find(aName);
  if (!value) {
    return;
  }
  const json::object* object = value->if_object();
  if (!object) {
    m_errors.Add(Path(aName), "is not an object");
    return;
  }
  for (const json::key_value_pair& entry : *object) {
    const std::string name(entry.key());
    if (std::optional<ParameterValue> scalar = ToScalar(entry.value())) {
      aEach(name, std::move(*scalar));
    } else {
      m_errors.Add(Path(aName) + "." + name,
                   "is not a number, text or boolean");
    }
  }
}

void
JsonObject::Finish()
{
  if (!m_object) {
    return;
  }
  for (const json::key_value_pair& entry : *m_object) {
    const std::string name(entry.key());
    const bool isRead =
      std::find(m_read.begin(), m_read.end(), name) != m_read.end();
    m_errors.Check(isRead, Path(name), "is not a known field");
  }
}

std::optional<ParameterName>
JsonObject::ParameterOf(const json::value& aValue, std::string_view aName)
{
  const json::object* object = aValue.if_object();
  if (!object) {
    return std::nullopt;
  }
  const json::value* name =
    object->if_contains({ kParameterKey.data(), kParameterKey.size() });
  if (!name || object->size() != 1) {
    m_errors.Add(Path(aName), R"(is neither a value nor {"parameter": NAME})");
    return std::nullopt;
  }
  if (!name->is_string()) {
    m_errors.Add(Path(aName) + "." + std::string(kParameterKey), "is not text");
    return std::nullopt;
  }
  return ParameterName(std::string(name->get_string()));
}

std::int64_t
JsonObject::WholeNumber(const json::value& aValue,
                        std::string_view aName,
                        NumberRange aRange)
{
  const std::int64_t* number = aValue.if_int64();
  if (!number) {
    m_errors.Add(Path(aName), "is not a whole number");
    return 0;
  }
  m_errors.CheckRange(Path(aName), *number, aRange);
  return *number;
}

void
JsonObject::ReadLiteral(const json::value& aValue,
                        std::string_view aName,
                        bool& aFlag)
{
  const bool* flag = aValue.if_bool();
  m_errors.Check(flag != nullptr, Path(aName), "is not a boolean");
  aFlag = flag && *flag;
}

void
JsonObject::ReadLiteral(const json::value& aValue,
                        std::string_view aName,
                        std::uint8_t& aNumber)
{
  constexpr NumberRange kRange{ 0, std::numeric_limits<std::uint8_t>::max() };
  aNumber = static_cast<std::uint8_t>(WholeNumber(aValue, aName, kRange));
}

void
JsonObject::ReadLiteral(const json::value& aValue,
                        std::string_view aName,
                        std::uint32_t& aNumber)
{
  constexpr NumberRange kRange{ 0, std::numeric_limits<std::uint32_t>::max() };
  aNumber = static_cast<std::uint32_t>(WholeNumber(aValue, aName, kRange));
}

void
JsonObject::ReadLiteral(const json::value& aValue,
                        std::string_view aName,
                        Share& aShare)
{
  json::error_code code;
  const auto fraction = aValue.to_number<double>(code);
  const bool isShare = !code && fraction >= 0 && fraction <= 1;
  m_errors.Check(isShare, Path(aName), "is not a fraction from 0 to 1");
  aShare = isShare ? Share::FromFraction(fraction) : Share::None();
}

void
JsonObject::ReadLiteral(const json::value& aValue,
                        std::string_view aName,
                        Duration& aDuration)
{
  constexpr NumberRange kRange{ 0, kLongestMs };
  const std::int64_t number = WholeNumber(aValue, aName, kRange);
  const bool isInRange = number >= 0 && number <= kLongestMs;
  aDuration = std::chrono::milliseconds(isInRange ? number : 0);
}

void
JsonObject::ReadLiteral(const json::value& aValue,
                        std::string_view aName,
                        std::string& aText)
{
  const json::string* text = aValue.if_string();
  m_errors.Check(text != nullptr, Path(aName), "is not text");
  if (text) {
    aText.assign(text->data(), text->size());
  }
}

} // namespace tarragontray
