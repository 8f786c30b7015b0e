#include "base/NetworkAddress.h"

#include <charconv>

namespace tarragontray {

namespace {

constexpr std::uint32_t kMaxOctet = 255;
constexpr std::uint32_t kMaxPort = 65535;

/// Removes a decimal number up to aMax from the front of aText. False when
/// aText does not start with one.
bool
ConsumeNumber(std::string_view& aText,
              std::uint32_t aMax,
              std::uint32_t& aNumber)
{
  const char* end = aText.data() + aText.size();
  const auto [next, error] = std::from_chars(aText.data(), end, aNumber);
  if (error != std::errc() || aNumber > aMax) {
    return false;
  }
  aText.remove_prefix(static_cast<std::size_t>(next - aText.data()));
  return true;
}

bool
ConsumeCharacter(std::string_view& aText, char aCharacter)
{
  if (aText.empty() || aText.front() != aCharacter) {
    return false;
  }
  aText.remove_prefix(1);
  return true;
}

} // namespace

Result<NetworkAddress>
NetworkAddress::Parse(std::string_view aText)
{
  std::string_view rest = aText;
  std::uint32_t ip = 0;
  bool valid = true;
  for (int octet = 0; octet < 4 && valid; ++octet) {
    std::uint32_t number = 0;
    valid = ConsumeNumber(rest, kMaxOctet, number) &&
            ConsumeCharacter(rest, octet == 3 ? ':' : '.');
    ip = ip << 8U | number;
  }
  std::uint32_t port = 0;
  if (!valid || !ConsumeNumber(rest, kMaxPort, port) || !rest.empty()) {
    return Error(ErrorCode::InvalidArgument,
                 "address.parse",
                 "",
                 "'" + std::string(aText) +
                   "' is not an IPv4 address and port (a.b.c.d:port)");
  }
  return NetworkAddress(ip, static_cast<std::uint16_t>(port));
}

std::string
NetworkAddress::IpString() const
{
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8) {
    text += std::to_string(m_ip >> static_cast<unsigned>(shift) & kMaxOctet);
    if (shift > 0) {
      text += '.';
    }
  }
  return text;
}

std::string
NetworkAddress::ToString() const
{
  return IpString() + ":" + std::to_string(m_port);
}

} // namespace tarragontray
