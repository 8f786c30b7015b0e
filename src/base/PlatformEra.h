/// \file
/// Revisions of a platform that may lose its newest writes.
///
/// A platform that is restored from a copy gives out revisions a second time.
/// It counts its restores; the count is its era. A Revision combines both, so
/// that every revision of an era is above those of earlier eras:
///
///     Revision revision = RevisionIn(PlatformEra(2), 25);
///     // prints as 2000000000000025
///
/// A platform without a count is in era 0, and its revisions are its numbers.
///
/// Thread safety: pure functions.
#pragma once

#include <cstdint>
#include <optional>

#include "base/Ids.h"

namespace tarragontray {

/// The number of times that the platform was restored.
using PlatformEra = Amount<struct PlatformEraTag>;

/// The distance between the first revisions of two eras; a power of ten, so
/// that both parts can be read in a printed revision.
inline constexpr std::uint64_t kRevisionsPerEra = 1'000'000'000'000'000;
inline constexpr PlatformEra kMaxPlatformEra{ 18'000 };

/// Not set when the number or the era is too large to be combined.
constexpr std::optional<Revision>
RevisionIn(PlatformEra aEra, std::uint64_t aNumber)
{
  if (aEra > kMaxPlatformEra || aNumber >= kRevisionsPerEra) {
    return std::nullopt;
  }
  return Revision(aEra.Value() * kRevisionsPerEra + aNumber);
}

constexpr PlatformEra
EraOf(Revision aRevision)
{
  return PlatformEra(aRevision.Value() / kRevisionsPerEra);
}

/// The number that the platform gave the revision within its era.
constexpr std::uint64_t
NumberOf(Revision aRevision)
{
  return aRevision.Value() % kRevisionsPerEra;
}

} // namespace tarragontray
