#include "base/Hash.h"

#include <xxhash.h>

namespace tarragontray {

std::uint64_t
StableHash(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH64(aBytes.data(), aBytes.size(), aSeed);
}

} // namespace tarragontray
