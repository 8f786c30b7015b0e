/// \file
/// Distributes the calls of a service over the two versions of a move.
///
///     const UpstreamVersion& version = splitter.Choose(service.m_split);
///
/// Error diffusion (Floyd and Steinberg, 1976, in one dimension): each call
/// adds the share to an accumulator, and a call goes to the new version when
/// the accumulator reaches one. The initial phase is random, so that many
/// threads with little traffic don't all send their first or their hundredth
/// call to the new version.
///
/// Each traffic thread owns one instance. Thread safety: one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "base/Random.h"
#include "process/View.h"

namespace tarragontray {

class VersionSplitter
{
public:
  /// \param aRandom source of the initial phases; must outlive this object.
  explicit VersionSplitter(Random& aRandom)
    : m_random(aRandom)
  {
  }

  /// Returns the version for the next call, as a reference into aSplit; m_from
  /// while the share is zero.
  const UpstreamVersion& Choose(const VersionSplit& aSplit);

  /// Returns the version for a call with an idempotency key, as a reference
  /// into aSplit. A key maps to the same version while the share doesn't
  /// change, so that a repeat reaches the guard that recorded the first call.
  /// Thread safety: pure function.
  static const UpstreamVersion& ChooseForKey(const VersionSplit& aSplit,
                                             const OperationId& aOperation);

private:
  struct Phase
  {
    PlanNumber m_plan;
    /// Accumulator in units of 1 / Share::kDenominator; always less than
    /// kDenominator.
    std::uint32_t m_accumulator = 0;
  };

  /// Maximum number of services with a move that are tracked; when exceeded,
  /// all phases are drawn again.
  static constexpr std::size_t kMaxServices = 4096;

  Phase& PhaseOf(const MoveId& aMove);

  Random& m_random;
  std::unordered_map<ServiceId, Phase> m_phases;
};

} // namespace tarragontray
