/// \file
/// An IPv4 address and a port.
///
///     Result<NetworkAddress> address =
///       NetworkAddress::Parse("127.0.1.1:7000");
///
/// Thread safety: values; concurrent reads are safe.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/Result.h"

namespace tarragontray {

/// An IPv4 endpoint. 0.0.0.0:0 means "not set".
class NetworkAddress
{
public:
  constexpr NetworkAddress() = default;
  /// \param aIp the IPv4 address in host byte order.
  constexpr NetworkAddress(std::uint32_t aIp, std::uint16_t aPort)
    : m_ip(aIp)
    , m_port(aPort)
  {
  }

  /// Parses "a.b.c.d:port". Errors: InvalidArgument.
  static Result<NetworkAddress> Parse(std::string_view aText);

  std::uint32_t Ip() const { return m_ip; }
  std::uint16_t Port() const { return m_port; }
  bool IsSet() const { return m_ip != 0 || m_port != 0; }
  /// "a.b.c.d:port".
  std::string ToString() const;
  /// "a.b.c.d".
  std::string IpString() const;

  auto operator<=>(const NetworkAddress&) const = default;

private:
  std::uint32_t m_ip = 0;
  std::uint16_t m_port = 0;
};

} // namespace tarragontray

template<>
struct std::hash<tarragontray::NetworkAddress>
{
  std::size_t operator()(const tarragontray::NetworkAddress& aAddress) const
  {
    const std::uint64_t ip = aAddress.Ip();
    return std::hash<std::uint64_t>{}(ip << 16U | aAddress.Port());
  }
};
