#include "connection/PlatformMessages.h"

#include <charconv>
#include <chrono>
#include <cstdint>
#include <utility>

#include <boost/json.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/rfc/pchars.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <boost/url/url_view.hpp>

namespace tarragontray {

namespace {

namespace json = boost::json;
namespace urls = boost::urls;

constexpr std::string_view kObjectsPath = "/v1/objects";
constexpr std::string_view kWatchPath = "/v1/watch";

std::string
EncodeQueryValue(const std::string& aText)
{
  return urls::encode(aText, urls::unreserved_chars);
}

std::string
ObjectTarget(const ObjectKey& aKey)
{
  return std::string(kObjectsPath) + "/" +
         urls::encode(aKey.Value(), urls::pchars + '/');
}

std::optional<json::object>
ParseObject(std::string_view aText)
{
  json::error_code error;
  json::value value = json::parse(aText, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

/// Returns a field that holds a non-negative integer.
std::optional<std::uint64_t>
NumberField(const json::object& aObject, std::string_view aName)
{
  const json::value* field = aObject.if_contains(aName);
  json::error_code error;
  if (field == nullptr || !field->is_number() || field->is_double()) {
    return std::nullopt;
  }
  const auto number = field->to_number<std::uint64_t>(error);
  return error ? std::nullopt : std::optional(number);
}

std::optional<std::string>
TextField(const json::object& aObject, std::string_view aName)
{
  const json::value* field = aObject.if_contains(aName);
  if (field == nullptr || !field->is_string()) {
    return std::nullopt;
  }
  return std::string(field->get_string());
}

/// Adds the writer's version to an object or a write that has one.
void
AddVersion(json::object& aInto, WriterVersion aVersion)
{
  if (aVersion > WriterVersion(0)) {
    aInto["version"] = aVersion.Value();
  }
}

json::object
ToJson(const PlatformObject& aObject)
{
  json::object object{ { "key", aObject.m_document.m_key.Value() },
                       { "revision", aObject.m_document.m_revision.Value() },
                       { "operation", aObject.m_operation.Value() },
                       { "body", aObject.m_document.m_body } };
  AddVersion(object, aObject.m_document.m_version);
  return object;
}

std::optional<PlatformObject>
FromJson(const json::object& aObject)
{
  auto key = TextField(aObject, "key");
  auto operation = TextField(aObject, "operation");
  auto body = TextField(aObject, "body");
  const auto revision = NumberField(aObject, "revision");
  if (!key || !operation || !body || !revision) {
    return std::nullopt;
  }
  return PlatformObject{ { ObjectKey(std::move(*key)),
                           Revision(*revision),
                           std::move(*body),
                           WriterVersion(
                             NumberField(aObject, "version").value_or(0)) },
                         OperationId(std::move(*operation)) };
}

/// Returns the percent-decoded value of a query parameter.
std::optional<std::string>
Parameter(const urls::url_view& aUrl, std::string_view aName)
{
  const auto parameters = aUrl.params();
  const auto found = parameters.find(aName);
  if (found == parameters.end()) {
    return std::nullopt;
  }
  return (*found).value;
}

std::optional<std::uint64_t>
NumberParameter(const urls::url_view& aUrl, std::string_view aName)
{
  const auto text = Parameter(aUrl, aName);
  std::uint64_t number = 0;
  if (!text) {
    return std::nullopt;
  }
  const char* end = text->data() + text->size();
  const auto [next, error] = std::from_chars(text->data(), end, number);
  return error == std::errc() && next == end ? std::optional(number)
                                             : std::nullopt;
}

std::optional<PlatformRequest>
DecodeWrite(const ObjectKey& aKey, std::string_view aBody)
{
  const auto object = ParseObject(aBody);
  if (!object) {
    return std::nullopt;
  }
  auto operation = TextField(*object, "operation");
  auto body = TextField(*object, "body");
  const auto expected = NumberField(*object, "expected");
  const json::value* expectedField = object->if_contains("expected");
  const bool isConditional =
    expectedField != nullptr && !expectedField->is_null();
  if (!operation || !body || (isConditional && !expected)) {
    return std::nullopt;
  }
  PlatformRequest request;
  request.m_operation = PlatformOperation::Write;
  request.m_write.m_key = aKey;
  request.m_write.m_body = std::move(*body);
  request.m_write.m_operation = OperationId(std::move(*operation));
  request.m_write.m_version =
    WriterVersion(NumberField(*object, "version").value_or(0));
  if (isConditional) {
    request.m_write.m_expected = Revision(*expected);
  }
  return request;
}

std::optional<PlatformRequest>
DecodeWatch(const urls::url_view& aUrl)
{
  auto prefix = Parameter(aUrl, "prefix");
  const auto after = NumberParameter(aUrl, "after");
  const auto wait = NumberParameter(aUrl, "wait_ms");
  constexpr std::uint64_t kMaxWaitMs = 600'000;
  if (!prefix || !after || !wait || *wait > kMaxWaitMs) {
    return std::nullopt;
  }
  PlatformRequest request;
  request.m_operation = PlatformOperation::Watch;
  request.m_prefix = std::move(*prefix);
  request.m_after = Revision(*after);
  request.m_maxWait = std::chrono::milliseconds(*wait);
  return request;
}

} // namespace

HttpRequestParts
ReadRequest(const ObjectKey& aKey)
{
  return { "GET", ObjectTarget(aKey), {}, "" };
}

HttpRequestParts
ListRequest(const std::string& aPrefix)
{
  return { "GET",
           std::string(kObjectsPath) + "?prefix=" + EncodeQueryValue(aPrefix),
           {},
           "" };
}

HttpRequestParts
WriteRequest(const PlatformWrite& aWrite)
{
  json::object body{ { "operation", aWrite.m_operation.Value() },
                     { "body", aWrite.m_body } };
  AddVersion(body, aWrite.m_version);
  body["expected"] = aWrite.m_expected
                       ? json::value(NumberOf(*aWrite.m_expected))
                       : json::value(nullptr);
  return { "PUT",
           ObjectTarget(aWrite.m_key),
           { { "content-type", "application/json" } },
           json::serialize(body) };
}

HttpRequestParts
WatchRequest(const std::string& aPrefix, Revision aAfter, Duration aMaxWait)
{
  const auto wait =
    std::chrono::duration_cast<std::chrono::milliseconds>(aMaxWait).count();
  return { "GET",
           std::string(kWatchPath) + "?prefix=" + EncodeQueryValue(aPrefix) +
             "&after=" + std::to_string(NumberOf(aAfter)) +
             "&wait_ms=" + std::to_string(wait),
           {},
           "" };
}

std::string
EncodeObject(const PlatformObject& aObject)
{
  return json::serialize(ToJson(aObject));
}

std::string
EncodeListing(const PlatformListing& aListing)
{
  json::array objects;
  objects.reserve(aListing.m_objects.size());
  for (const PlatformObject& object : aListing.m_objects) {
    objects.emplace_back(ToJson(object));
  }
  return json::serialize(
    json::object{ { "revision", aListing.m_revision.Value() },
                  { "objects", std::move(objects) } });
}

std::string
EncodeRevision(Revision aRevision)
{
  return json::serialize(json::object{ { "revision", aRevision.Value() } });
}

std::optional<PlatformObject>
DecodeObject(std::string_view aText)
{
  const auto object = ParseObject(aText);
  return object ? FromJson(*object) : std::nullopt;
}

std::optional<PlatformListing>
DecodeListing(std::string_view aText)
{
  const auto object = ParseObject(aText);
  if (!object) {
    return std::nullopt;
  }
  const auto revision = NumberField(*object, "revision");
  const json::value* objects = object->if_contains("objects");
  if (!revision || objects == nullptr || !objects->is_array()) {
    return std::nullopt;
  }
  PlatformListing listing;
  listing.m_revision = Revision(*revision);
  for (const json::value& value : objects->get_array()) {
    auto item = value.is_object() ? FromJson(value.get_object()) : std::nullopt;
    if (!item) {
      return std::nullopt;
    }
    listing.m_objects.push_back(std::move(*item));
  }
  return listing;
}

std::optional<Revision>
DecodeRevision(std::string_view aText)
{
  const auto object = ParseObject(aText);
  const auto revision =
    object ? NumberField(*object, "revision") : std::nullopt;
  return revision ? std::optional(Revision(*revision)) : std::nullopt;
}

std::optional<PlatformRequest>
DecodeRequest(const HttpRequestParts& aRequest)
{
  const auto url = urls::parse_origin_form(aRequest.m_target);
  if (!url) {
    return std::nullopt;
  }
  const std::string path = url->path();
  if (aRequest.m_method == "GET" && path == kWatchPath) {
    return DecodeWatch(*url);
  }
  PlatformRequest request;
  if (aRequest.m_method == "GET" && path == kObjectsPath) {
    auto prefix = Parameter(*url, "prefix");
    request.m_operation = PlatformOperation::List;
    request.m_prefix = prefix.value_or("");
    return prefix ? std::optional(std::move(request)) : std::nullopt;
  }
  const std::string objectPath = std::string(kObjectsPath) + "/";
  if (!path.starts_with(objectPath) || path.size() == objectPath.size()) {
    return std::nullopt;
  }
  const ObjectKey key(path.substr(objectPath.size()));
  if (aRequest.m_method == "PUT") {
    return DecodeWrite(key, aRequest.m_body);
  }
  request.m_key = key;
  return aRequest.m_method == "GET" ? std::optional(std::move(request))
                                    : std::nullopt;
}

} // namespace tarragontray
