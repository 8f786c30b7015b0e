/// \file
/// Bounds the age of what a node knows of the platform.
///
/// A watch can stay open and silent while other nodes change documents, and on
/// all nodes at once, so that no peer's digest shows it. A node therefore notes
/// when the platform last confirmed that its documents are current, and reads
/// the platform's revision when that is too long ago. A confirmation is spread
/// to the peers, and the allowed age grows with the relay rank: one node reads
/// for all, and the next rank takes over when it falls silent.
///
///     RevisionChecks checks(settings, random);
///     if (now >= checks.NextCheck(relayRank)) { read the revision }
///     checks.Confirm(timeOfTheRead);
///
/// Thread safety: one thread for each instance.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>

#include "base/Random.h"
#include "base/Units.h"

namespace tarragontray {

struct RevisionCheckSettings
{
  /// Age of the last confirmation at which the relay of rank 0 reads the
  /// platform's revision.
  Duration m_interval = std::chrono::seconds(1);
  /// Added for each rank up to kAnnouncers.
  Duration m_rankDelay = std::chrono::milliseconds(500);
  /// Upper limit of the random addition of the ranks from kAnnouncers on, which
  /// read for themselves only.
  Duration m_jitter = std::chrono::milliseconds(200);
};

/// See the file comment.
class RevisionChecks
{
public:
  /// The ranks below this one spread their confirmations.
  static constexpr std::size_t kAnnouncers = 3;

  /// Precondition: aRandom outlives the result.
  RevisionChecks(const RevisionCheckSettings& aSettings, Random& aRandom)
    : m_settings(aSettings)
    , m_random(&aRandom)
  {
  }

  /// Records that this node's documents were current at aAsOf.
  void Confirm(MonotonicTime aAsOf)
  {
    m_confirmedAt = std::max(m_confirmedAt, aAsOf);
    m_jitter = Duration(m_random->Below(
      static_cast<std::uint64_t>(m_settings.m_jitter.count()) + 1));
  }

  /// When a node of this relay rank reads the platform's revision.
  MonotonicTime NextCheck(std::size_t aRank) const
  {
    const auto steps = static_cast<std::int64_t>(std::min(aRank, kAnnouncers));
    const Duration jitter = aRank < kAnnouncers ? Duration(0) : m_jitter;
    return EarliestCheck() + m_settings.m_rankDelay * steps + jitter;
  }
  /// A lower bound of NextCheck() for all ranks.
  MonotonicTime EarliestCheck() const
  {
    return m_confirmedAt + m_settings.m_interval;
  }

private:
  RevisionCheckSettings m_settings;
  Random* m_random;
  MonotonicTime m_confirmedAt{};
  Duration m_jitter{ 0 };
};

} // namespace tarragontray
