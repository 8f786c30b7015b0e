/// \file
/// A baseline policy with fixed steps and a fixed failure-rate threshold.
///
///     Result<std::unique_ptr<MovePolicy>> policy =
///       FixedStepPolicy::Create(FixedStepSettings{});
///
/// It raises the share to 10, 25, 50 and 100 percent at equal intervals and
/// rolls a version back when its failure rate since the start exceeds the
/// threshold. It serves as a reference for evaluating other policies.
#pragma once

#include <cstdint>
#include <memory>

#include "base/Result.h"
#include "version/MovePolicy.h"

namespace tarragontray {

/// The threshold of FixedStepPolicy.
struct FixedStepSettings
{
  /// The fraction of calls that may fail, above 0 and below 1.
  double m_maxFailureRate = 0.05;
  /// The minimum number of calls for the threshold to apply.
  std::uint64_t m_minCalls = 20;
};

/// A baseline policy; see the file comment. Thread safety: immutable.
class FixedStepPolicy final : public MovePolicy
{
public:
  /// Errors: InvalidArgument if the failure rate is not between 0 and 1.
  static Result<std::unique_ptr<MovePolicy>> Create(
    const FixedStepSettings& aSettings);

  Share NextShare(const PaceInput& aInput) const override;
  std::unique_ptr<VersionJudge> MakeJudge(EvidenceScope aScope) const override;

private:
  explicit FixedStepPolicy(const FixedStepSettings& aSettings)
    : m_settings(aSettings)
  {
  }

  FixedStepSettings m_settings;
};

} // namespace tarragontray
