/// \file
/// Digests of API keys. Nodes compare digests only, so that a key is never
/// stored, logged or compared byte by byte.
///
///     ApiKeyDigest digest = DigestApiKey("gjy5rcpihhacruddedev");
///
/// Thread safety: values; pure functions.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace tarragontray {

/// The longest key that is accepted.
inline constexpr std::size_t kMaxApiKeyBytes = 256;

/// The keyed hash of an API key. Comparable within one process only: the hash
/// is keyed by a secret that each process draws when it starts.
struct ApiKeyDigest
{
  std::uint64_t m_high = 0;
  std::uint64_t m_low = 0;

  auto operator<=>(const ApiKeyDigest&) const = default;
};

/// Thread safety: any thread.
ApiKeyDigest
DigestApiKey(std::string_view aKey);

} // namespace tarragontray
