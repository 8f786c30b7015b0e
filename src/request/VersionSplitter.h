/// \file
/// Splits the calls of a service between the two versions of a move.
///
///     const UpstreamVersion& version = splitter.Choose(service.m_split);
///
/// Error diffusion (Floyd and Steinberg, 1976, in one dimension): each call
/// adds the share to an accumulator and a call goes to the new version when it
/// passes one. The phase starts at random, so that many threads with little
/// traffic don't all send their first or their hundredth call there.
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
  /// \param aRandom draws the phases; must outlive this object.
  explicit VersionSplitter(Random& aRandom)
    : m_random(aRandom)
  {
  }

  /// The version of the next call: m_from while no share is set.
  /// The reference is into aSplit.
  const UpstreamVersion& Choose(const VersionSplit& aSplit);

  /// The version of a call that carries a caller's key: the same for the same
  /// key as long as the share stays, so that a repeat finds its former run.
  /// The reference is into aSplit. Thread safety: pure function.
  static const UpstreamVersion& ChooseForKey(const VersionSplit& aSplit,
                                             const OperationId& aOperation);

private:
  struct Phase
  {
    PlanNumber m_plan;
    /// In parts of Share::kWhole, always below the whole.
    std::uint32_t m_parts = 0;
  };

  /// Services with a move at one time that are tracked; beyond it all phases
  /// start anew.
  static constexpr std::size_t kMaxServices = 4096;

  Phase& PhaseOf(const MoveId& aMove);

  Random& m_random;
  std::unordered_map<ServiceId, Phase> m_phases;
};

} // namespace tarragontray
