/// \file
/// Shared by all users of Beast's HTTP: conversion of its fields to HttpHeader
/// lists, and a bound on unparsed input, which Beast lacks.
///
/// Hop-by-hop headers (RFC 9110, section 7.6.1) are not forwarded.
/// Include only from .cpp files: Beast compiles slowly.
///
/// Thread safety: pure functions.
#pragma once

#include <algorithm>
#include <array>
#include <cctype>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/http/fields.hpp>

#include "request/Call.h"

namespace tarragontray {

/// Maximum size of received input that is not parsed yet. Beast bounds the
/// header and the body, but neither the line before a chunk nor the trailer
/// fields after the last chunk: it buffers these until their end has arrived.
inline constexpr std::size_t kMaxUnparsedBytes = 64U << 10U;

/// Maximum number of interim responses (1xx) before the final one.
inline constexpr int kMaxInterimResponses = 8;

/// True for headers that apply to one connection only.
inline bool
IsHopByHop(std::string_view aLowerCaseName)
{
  constexpr std::array<std::string_view, 9> kHopByHop{
    "connection",    "keep-alive", "transfer-encoding",   "te",
    "trailer",       "upgrade",    "proxy-authorization", "proxy-authenticate",
    "content-length"
  };
  return std::find(kHopByHop.begin(), kHopByHop.end(), aLowerCaseName) !=
         kHopByHop.end();
}

/// The headers to forward, with names in lower case.
inline std::vector<HttpHeader>
EndToEndHeaders(const boost::beast::http::fields& aFields)
{
  std::vector<HttpHeader> headers;
  for (const auto& field : aFields) {
    std::string name(field.name_string());
    std::transform(
      name.begin(), name.end(), name.begin(), [](unsigned char aByte) {
        return static_cast<char>(std::tolower(aByte));
      });
    if (!IsHopByHop(name)) {
      headers.push_back({ std::move(name), std::string(field.value()) });
    }
  }
  return headers;
}

} // namespace tarragontray
