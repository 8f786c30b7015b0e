/// \file
/// The move policy in use: doubling steps by time, sequential tests, and a
/// return to equal load when the new version can't be compared.
///
///     Result<std::unique_ptr<MovePolicy>> policy =
///       SequentialMovePolicy::Create(SequentialSettings{});
///
/// The pace follows time alone; evidence only stops it. A version that looks
/// bad while it carries nearly all calls is first brought back to equal load
/// ("comparison"), so that a fault of both versions is told from its own. One
/// that repeatedly looks bad at loads that the old version carried, and good
/// at equal load, is bad under load.
#pragma once

#include <memory>

#include "base/Result.h"
#include "version/MovePolicy.h"

namespace tarragontray {

/// Thresholds are natural logarithms of likelihood ratios.
struct SequentialSettings
{
  /// At this score the share is no longer raised.
  double m_suspectScore = 3.5;
  /// At this score a data centre's evidence condemns the version.
  double m_verdictScore = 9.0;
  /// The same for one node's own evidence.
  double m_nodeVerdictScore = 12.0;
};

/// See the file comment. Thread safety: immutable.
class SequentialMovePolicy final : public MovePolicy
{
public:
  /// Errors: InvalidArgument when the scores do not rise.
  static Result<std::unique_ptr<MovePolicy>> Create(
    const SequentialSettings& aSettings);

  Share NextShare(const PaceInput& aInput) const override;
  std::unique_ptr<VersionJudge> MakeJudge(EvidenceScope aScope) const override;

private:
  explicit SequentialMovePolicy(const SequentialSettings& aSettings)
    : m_settings(aSettings)
  {
  }

  SequentialSettings m_settings;
};

} // namespace tarragontray
