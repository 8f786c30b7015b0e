/// \file
/// The plain baseline: fixed steps and a fixed threshold on errors.
///
///     Result<std::unique_ptr<MovePolicy>> policy =
///       FixedStepPolicy::Create(FixedStepSettings{});
///
/// It raises the share to 10, 25, 50 and 100 percent at equal times and takes
/// a version back when its failures since the start pass the threshold. Kept
/// to compare other policies with.
#pragma once

#include <cstdint>
#include <memory>

#include "base/Result.h"
#include "version/MovePolicy.h"

namespace tarragontray {

/// The threshold of the baseline.
struct FixedStepSettings
{
  /// Part of the calls that may fail, above 0 and below 1.
  double m_maxFailureRate = 0.05;
  /// Calls before the threshold applies.
  std::uint64_t m_minCalls = 20;
};

/// See the file comment. Thread safety: immutable.
class FixedStepPolicy final : public MovePolicy
{
public:
  /// Errors: InvalidArgument when the rate is not between 0 and 1.
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
