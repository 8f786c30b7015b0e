/// \file
/// Reads the platform's era from the headers of its answers.
///
///     const PlatformEra era = EraIn(answer.m_headers, "platform-era");
///
/// Thread safety: pure functions.
#pragma once

#include <charconv>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/PlatformEra.h"
#include "request/Call.h"

namespace tarragontray {

/// The value of the header, or era 0 when it is missing or not a number.
/// \param aName in lower case.
inline PlatformEra
EraIn(const std::vector<HttpHeader>& aHeaders, std::string_view aName)
{
  for (const HttpHeader& header : aHeaders) {
    if (header.m_name != aName) {
      continue;
    }
    std::uint64_t number = 0;
    const char* const end = header.m_value.data() + header.m_value.size();
    const auto [next, error] =
      std::from_chars(header.m_value.data(), end, number);
    return error == std::errc() && next == end ? PlatformEra(number)
                                               : PlatformEra(0);
  }
  return PlatformEra(0);
}

} // namespace tarragontray
