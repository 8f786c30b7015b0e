/// \file
/// Reads the platform's era from the headers of its answers.
///
///     const PlatformEra era = EraIn(answer.m_headers, "platform-era");
///
/// Thread safety: pure functions.
#pragma once

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/PlatformEra.h"
#include "request/HttpDialect.h"

namespace tarragontray {

/// The value of the header, or era 0 when it is missing or not a number.
/// \param aName in lower case.
inline PlatformEra
EraIn(const std::vector<HttpHeader>& aHeaders, std::string_view aName)
{
  const std::string* text = FindHeader(aHeaders, aName);
  std::uint64_t number = 0;
  if (text == nullptr) {
    return PlatformEra(0);
  }
  const char* const end = text->data() + text->size();
  const auto [next, error] = std::from_chars(text->data(), end, number);
  return error == std::errc() && next == end ? PlatformEra(number)
                                             : PlatformEra(0);
}

} // namespace tarragontray
