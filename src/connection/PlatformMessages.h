/// \file
/// Wire format of the platform's object API, for its clients and its server.
///
///     HttpRequestParts request = ReadRequest(ObjectKey("templates/web/1"));
///     std::optional<PlatformObject> object = DecodeObject(answer.m_body);
///
/// Decoders return std::nullopt when the text is not JSON or does not have the
/// format of docs/PROTOCOLS.md. Encoded revisions are numbers within the
/// platform's era; decoded ones have era 0 until the client sets it from the
/// header kEraHeader of the answer.
///
/// Thread safety: pure functions.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "connection/Platform.h"
#include "request/Call.h"

namespace tarragontray {

/// The header of answers that tells the platform's era. Missing in era 0.
inline constexpr char kEraHeader[] = "platform-era";

HttpRequestParts
ReadRequest(const ObjectKey& aKey);
HttpRequestParts
ListRequest(const std::string& aPrefix);
HttpRequestParts
WriteRequest(const PlatformWrite& aWrite);
HttpRequestParts
WatchRequest(const std::string& aPrefix, Revision aAfter, Duration aMaxWait);

std::string
EncodeObject(const PlatformObject& aObject);
std::string
EncodeListing(const PlatformListing& aListing);
std::string
EncodeRevision(Revision aRevision);

std::optional<PlatformObject>
DecodeObject(std::string_view aText);
std::optional<PlatformListing>
DecodeListing(std::string_view aText);
std::optional<Revision>
DecodeRevision(std::string_view aText);

/// Kind of a request to the object API.
enum class PlatformOperation
{
  Read,
  List,
  Write,
  Watch,
};

/// A request as the server decodes it.
struct PlatformRequest
{
  PlatformOperation m_operation = PlatformOperation::Read;
  /// For Read.
  ObjectKey m_key;
  /// For List and Watch.
  std::string m_prefix;
  /// For Write; holds the key too.
  PlatformWrite m_write;
  /// For Watch.
  Revision m_after;
  Duration m_maxWait{ 0 };
};

/// Returns std::nullopt when the request is not part of the object API.
std::optional<PlatformRequest>
DecodeRequest(const HttpRequestParts& aRequest);

} // namespace tarragontray
