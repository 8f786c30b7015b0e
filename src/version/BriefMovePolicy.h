/// \file
/// A policy for moves that last only seconds: small shares, a short trial at
/// nearly the full load, and the full share if there is no evidence against the
/// new version after it.
///
///     Result<std::unique_ptr<MovePolicy>> policy =
///       BriefMovePolicy::Create(BriefMoveSettings{});
///
/// The trial shows faults under load. It is shorter than its evidence takes to
/// arrive, and all stages below the full share together receive less than a
/// tenth of the calls. A version that is suspect at a large share returns to a
/// small one, where the judge (version/BriefJudge.h) compares it with
/// concurrent calls to the old version. The full share requires a trial without
/// evidence against the version since. Trials are limited by a budget of calls;
/// a version that was not cleared within it is rolled back.
#pragma once

#include <memory>

#include "base/Result.h"
#include "version/MovePolicy.h"

namespace tarragontray {

/// The settings of BriefMovePolicy.
struct BriefMoveSettings
{
  /// The natural logarithm of the likelihood ratio at which a version is judged
  /// bad. A good version reaches it with a probability of about
  /// exp(-m_verdictScore).
  double m_verdictScore = 8.0;
  /// How far back calls are evaluated.
  Duration m_lookback = std::chrono::seconds(18);
};

/// A policy for moves of a few seconds; see the file comment. Thread safety:
/// immutable.
class BriefMovePolicy final : public MovePolicy
{
public:
  /// Errors: InvalidArgument unless both settings are positive.
  static Result<std::unique_ptr<MovePolicy>> Create(
    const BriefMoveSettings& aSettings);

  Share NextShare(const PaceInput& aInput) const override;
  Share ShareAfterTrial(const PaceInput& aInput) const override;
  bool MustGiveUp(const PaceInput& aInput) const override;
  bool MustDecide(const PaceInput& aInput) const override;
  Share ComparisonShare(Share aEqualLoad) const override;
  std::unique_ptr<VersionJudge> MakeJudge(EvidenceScope aScope) const override;

private:
  explicit BriefMovePolicy(const BriefMoveSettings& aSettings)
    : m_settings(aSettings)
  {
  }

  BriefMoveSettings m_settings;
};

} // namespace tarragontray
