/// \file
/// A policy that doubles the share in timed steps, applies sequential tests,
/// and returns to equal load when the versions cannot be compared.
///
///     Result<std::unique_ptr<MovePolicy>> policy =
///       SequentialMovePolicy::Create(SequentialSettings{});
///
/// The pace depends on time alone; evidence can only stop it. If a version
/// looks bad while it carries nearly all calls, the share is first lowered to
/// equal load (a "comparison"), to distinguish a fault of the new version from
/// one of both. A version that repeatedly looks bad at loads that the old
/// version carried, but good at equal load, is rejected as bad under load.
#pragma once

#include <memory>

#include "base/Result.h"
#include "version/MovePolicy.h"

namespace tarragontray {

/// The thresholds of SequentialMovePolicy, as natural logarithms of likelihood
/// ratios.
struct SequentialSettings
{
  /// From this score on the share is not raised.
  double m_suspectScore = 3.5;
  /// From this score on a data centre's evidence rejects the version.
  double m_verdictScore = 9.0;
  /// The same for one node's own evidence.
  double m_nodeVerdictScore = 12.0;
};

/// A policy with sequential tests; see the file comment. Thread safety:
/// immutable.
class SequentialMovePolicy final : public MovePolicy
{
public:
  /// Errors: InvalidArgument unless the suspect score is positive, the verdict
  /// score is above it and the node verdict score is at least the verdict
  /// score.
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
