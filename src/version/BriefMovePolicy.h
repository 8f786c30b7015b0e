/// \file
/// Moves that have seconds: a small share for most of the time, then quickly
/// the whole, and a judge that needs few calls.
///
///     Result<std::unique_ptr<MovePolicy>> policy =
///       BriefMovePolicy::Create(BriefMoveSettings{});
///
/// A version that turns bad only under load shows it at the last steps. They
/// are short, so that together with what came before they stay below a tenth
/// of the calls of the whole time, and the judge looks at the last seconds
/// only: there is no time to go back to equal load and compare, as
/// SequentialMovePolicy does.
///
/// Verdict: a likelihood ratio of failures, and one of slow calls, of the new
/// version against the old one's recent past, with the worst target left out.
/// A slow call takes longer than nearly all calls of the old version did.
#pragma once

#include <memory>

#include "base/Result.h"
#include "version/MovePolicy.h"

namespace tarragontray {

struct BriefMoveSettings
{
  /// Natural logarithm of the likelihood ratio at which a version is bad: a
  /// good one gets there with a chance of e to the minus this.
  double m_verdictScore = 7.0;
  /// Calls older than this do not count.
  Duration m_lookback = std::chrono::seconds(4);
};

/// See the file comment. Thread safety: immutable.
class BriefMovePolicy final : public MovePolicy
{
public:
  /// Errors: InvalidArgument unless both settings are positive.
  static Result<std::unique_ptr<MovePolicy>> Create(
    const BriefMoveSettings& aSettings);

  Share NextShare(const PaceInput& aInput) const override;
  std::unique_ptr<VersionJudge> MakeJudge(EvidenceScope aScope) const override;

private:
  explicit BriefMovePolicy(const BriefMoveSettings& aSettings)
    : m_settings(aSettings)
  {
  }

  BriefMoveSettings m_settings;
};

} // namespace tarragontray
