#include "base/ApiKey.h"

#include <random>

#include "base/Hash.h"

namespace tarragontray {

namespace {

struct Secret
{
  std::uint64_t m_high = 0;
  std::uint64_t m_low = 0;
};

std::uint64_t
DrawSeed(std::random_device& aDevice)
{
  return (static_cast<std::uint64_t>(aDevice()) << 32U) | aDevice();
}

const Secret&
ProcessSecret()
{
  static const Secret kSecret = [] {
    std::random_device device;
    return Secret{ DrawSeed(device), DrawSeed(device) };
  }();
  return kSecret;
}

} // namespace

ApiKeyDigest
DigestApiKey(std::string_view aKey)
{
  const Secret& secret = ProcessSecret();
  return { StableHash(aKey, secret.m_high), StableHash(aKey, secret.m_low) };
}

} // namespace tarragontray
