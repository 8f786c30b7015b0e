/// \file
/// Selects the target of each attempt of one call.
///
///     TargetSequence targets(setup);
///     const Target* first = targets.First(now);
///     const Target* second = targets.Next(RetryReason::Failed, now);
///
/// Thread safety: one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/Ids.h"
#include "base/Random.h"
#include "base/Units.h"
#include "process/View.h"
#include "request/BalancingPolicy.h"
#include "request/RefusalMemory.h"
#include "request/RetryPolicy.h"
#include "request/VersionSplitter.h"
#include "version/Configuration.h"

namespace tarragontray {

/// The policies shared by all calls of one traffic thread.
struct TrafficPolicies
{
  BalancingPolicy& m_balancing;
  VersionSplitter& m_splitter;
  RetryPolicy& m_retries;
  Random& m_random;
  /// Buffer for the candidates of one choice, reused to avoid allocations.
  std::vector<const Target*> m_candidates = {};
  /// Null: calls are offered to a target whatever was refused before.
  RefusalMemory* m_refusals = nullptr;
};

/// The parameters of one call. The references must outlive the plan; the driver
/// keeps the view and the configuration alive for it.
struct CallSetup
{
  const RouteSpec& m_route;
  const ServiceView& m_service;
  OperationId m_operation;
  /// m_operation is the caller's idempotency key; the caller may repeat it.
  bool m_isCallerKey = false;
  ClientAccountId m_caller;
  std::uint8_t m_priority = 0;
  MonotonicTime m_deadline{};
  DataCentreId m_dataCentre;
  TrafficPolicies& m_policies;
  /// The latency objective of the call; max() when it has none.
  MonotonicTime m_objective = MonotonicTime::max();
  /// Size of the call's body.
  ByteCount m_bodyBytes{ 0 };
};

/// Why a call is to be retried.
enum class RetryReason : std::uint8_t
{
  /// The target's guard shed the call.
  Overload,
  /// The target's upstream shed the call.
  Shed,
  /// The target refused because it is draining and accepts no more calls.
  Draining,
  /// The target refused because it currently has no upstream of the version.
  TargetGone,
  /// Nothing was handed to the socket.
  NotSent,
  /// The target did not receive the call and has withdrawn the operation.
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

  /// The shortest time until a target is expected to have a slot, when all
  /// targets have just refused such a call. Not set for a call without an
  /// objective or with its caller's key.
  std::optional<Duration> WaitEverywhere(MonotonicTime aNow) const;
  /// Remembers that the target refused the call because of load.
  /// \param aStated the wait that the refusal stated, or zero.
  void RecordRefusal(const Target& aTarget,
                     Duration aStated,
                     MonotonicTime aNow);
  /// The target of the first attempt; null when there is none.
  const Target* First(MonotonicTime aNow);
  /// The target of the next attempt; null when there is none.
  /// Precondition: First gave a target.
  const Target* Next(RetryReason aReason, MonotonicTime aNow);

  const CallSetup& Setup() const { return m_setup; }
  /// True when the call may run only at the home of its key.
  bool IsPinned() const { return m_isPinned; }
  /// Returns the next target to ask, before the first attempt, whether it ran
  /// an operation with this key: the home at the other version of a move, and
  /// the former home of each home that joined recently. Null when there are no
  /// more.
  const Target* NextFormerHome(MonotonicTime aNow);
  /// Returns the target to ask before an attempt at the target that Next
  /// returned: its former home, when that target joined recently and may lack
  /// operations that the former home recorded. Null when no query is needed.
  const Target* FormerHomeOfNext(MonotonicTime aNow) const;

private:
  /// The home of the next rank; null when there is none.
  const Target* NextHome() const;
  const Target* NextPinnedTarget(RetryReason aReason, MonotonicTime aNow);
  /// The home of the rank after aRank when the one of aRank joined recently,
  /// else null.
  const Target* FormerHomeOf(const UpstreamVersion& aVersion,
                             std::size_t aRank,
                             MonotonicTime aNow) const;
  /// The former home of index aIndex, or null when it doesn't apply.
  const Target* FormerHome(std::size_t aIndex, MonotonicTime aNow) const;
  Duration TimeToObjective(MonotonicTime aNow) const;
  bool HasObjective() const
  {
    return m_setup.m_objective != MonotonicTime::max();
  }
  RefusableCall Describe(MonotonicTime aNow) const
  {
    return { m_setup.m_route.m_name,
             m_setup.m_caller,
             m_setup.m_priority,
             m_setup.m_deadline - aNow,
             TimeToObjective(aNow) };
  }
  /// \param aRequiresCapacity skip targets that seem saturated.
  const Target* ChooseAmong(const UpstreamVersion& aVersion,
                            bool aRequiresCapacity,
                            MonotonicTime aNow);
  bool WasTried(const VmId& aVm) const;

  CallSetup m_setup;
  bool m_isPinned = false;
  /// Index of the next former home that NextFormerHome considers.
  std::size_t m_formerHomes = 0;
  std::vector<const Target*> m_tried;
};

} // namespace tarragontray
