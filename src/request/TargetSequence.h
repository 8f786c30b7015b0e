/// \file
/// The targets of one call, one attempt after the other.
///
///     TargetSequence targets(setup);
///     const Target* first = targets.First(now);
///     const Target* second = targets.Next(RetryReason::Failed, now);
///
/// Thread safety: one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/Ids.h"
#include "base/Random.h"
#include "base/Units.h"
#include "process/View.h"
#include "request/BalancingPolicy.h"
#include "request/RetryPolicy.h"
#include "request/VersionSplitter.h"
#include "version/Configuration.h"

namespace tarragontray {

/// The policies that the calls of one traffic thread share.
struct TrafficPolicies
{
  BalancingPolicy& m_balancing;
  VersionSplitter& m_splitter;
  RetryPolicy& m_retries;
  Random& m_random;
  /// Room for the choice of one call, kept so that none allocates.
  std::vector<const Target*> m_candidates = {};
};

/// One call as its caller gave it. The references must outlive the plan; the
/// driver holds the view and the configuration for that.
struct CallSetup
{
  const RouteSpec& m_route;
  const ServiceView& m_service;
  OperationId m_operation;
  /// The caller gave the operation id itself and may repeat it.
  bool m_isCallerKey = false;
  ClientAccountId m_caller;
  std::uint8_t m_priority = 0;
  MonotonicTime m_deadline{};
  DataCentreId m_dataCentre;
  TrafficPolicies& m_policies;
  /// An answer by this time is worth most.
  MonotonicTime m_objective = MonotonicTime::max();
};

/// Why another attempt is wanted.
enum class RetryReason : std::uint8_t
{
  /// The target's guard refused for load.
  Overload,
  /// The target itself turned the call away.
  Shed,
  /// The target refused because it drains, and will never take work again.
  Draining,
  /// The target refused because it has no upstream of the version now.
  TargetGone,
  /// Nothing was handed to the socket.
  NotSent,
  /// The target says that it never received the call, and never will run it.
  NotReceived,
  /// An idempotent call failed or was lost.
  Failed,
};

/// One per call.
class TargetSequence
{
public:
  /// The references of aSetup must outlive this object.
  explicit TargetSequence(const CallSetup& aSetup);

  /// The target of the first attempt; null when there is none.
  const Target* First(MonotonicTime aNow);
  /// The target of the next attempt; null when there is none.
  /// Precondition: First gave a target.
  const Target* Next(RetryReason aReason, MonotonicTime aNow);

  const CallSetup& Setup() const { return m_setup; }
  /// The call runs only at the home of its key.
  bool IsPinned() const { return m_isPinned; }
  /// The next place to ask, before the first attempt, whether it ran an
  /// operation with this key: the home under the other version of a move, and
  /// for a home that joined lately the one that it took the key from. Null
  /// when there is none left.
  const Target* NextFormerHome(MonotonicTime aNow);
  /// The place to ask before an attempt at what Next gave: set when that is a
  /// home that joined lately and may lack what another one remembers.
  const Target* FormerHomeOfNext(MonotonicTime aNow) const;

private:
  /// Null unless the call is placed and the next home is untried.
  const Target* NextHome() const;
  const Target* NextPinnedTarget(RetryReason aReason);
  /// The home after aRank when the one of aRank joined lately, else null.
  const Target* FormerHomeOf(const UpstreamVersion& aVersion,
                             std::size_t aRank,
                             MonotonicTime aNow) const;
  /// The aIndex-th place that may have held the key, or null.
  const Target* FormerHome(std::size_t aIndex, MonotonicTime aNow) const;
  Duration TimeToObjective(MonotonicTime aNow) const;
  /// \param aRequiresCapacity a target that seems saturated is no help.
  const Target* ChooseAmong(const UpstreamVersion& aVersion,
                            bool aRequiresCapacity,
                            MonotonicTime aNow);
  bool WasTried(const VmId& aVm) const;

  CallSetup m_setup;
  bool m_isPinned = false;
  /// Places that NextFormerHome has gone through.
  std::size_t m_formerHomes = 0;
  std::vector<const Target*> m_tried;
};

} // namespace tarragontray
