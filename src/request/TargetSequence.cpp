#include "request/TargetSequence.h"

#include <algorithm>
#include <optional>

#include "request/Subset.h"

namespace tarragontray {

namespace {

/// Number of candidates that FormerHome enumerates.
constexpr std::size_t kFormerHomeCandidates = 3;

/// True when other guards may still hold operations from before the target
/// joined.
bool
JoinedRecently(const Target* aTarget, MonotonicTime aNow)
{
  return aTarget != nullptr && aTarget->m_knownSince != MonotonicTime{} &&
         aNow < aTarget->m_knownSince + kOperationRetention;
}

} // namespace

TargetSequence::TargetSequence(const CallSetup& aSetup)
  : m_setup(aSetup)
  , m_isPinned(aSetup.m_isCallerKey && !aSetup.m_route.m_idempotent &&
               aSetup.m_service.m_keys != nullptr)
{
}

std::optional<Duration>
TargetSequence::WaitEverywhere(MonotonicTime aNow) const
{
  const RefusalMemory* refusals = m_setup.m_policies.m_refusals;
  if (refusals == nullptr || m_isPinned || !HasObjective()) {
    return std::nullopt;
  }
  const RefusableCall call = Describe(aNow);
  std::optional<Duration> shortest;
  for (const Target& target : m_setup.m_service.m_targets) {
    const std::optional<Duration> wait =
      refusals->WaitAt(target.m_vm, call, aNow);
    if (!wait) {
      return std::nullopt;
    }
    shortest = std::min(shortest.value_or(*wait), *wait);
  }
  return shortest;
}

void
TargetSequence::RecordRefusal(const Target& aTarget,
                              Duration aStated,
                              MonotonicTime aNow)
{
  if (m_setup.m_policies.m_refusals != nullptr && HasObjective()) {
    m_setup.m_policies.m_refusals->Record(
      aTarget.m_vm, Describe(aNow), aStated, aNow);
  }
}

const Target*
TargetSequence::First(MonotonicTime aNow)
{
  const VersionSplit& split = m_setup.m_service.m_split;
  const Target* target = nullptr;
  if (m_isPinned) {
    target = m_setup.m_service.m_keys->Home(
      m_setup.m_operation,
      VersionSplitter::ChooseForKey(split, m_setup.m_operation));
  } else {
    target =
      ChooseAmong(m_setup.m_policies.m_splitter.Choose(split), false, aNow);
    if (target == nullptr) {
      target = ChooseAmong(split.m_from, false, aNow);
    }
  }
  if (target != nullptr) {
    m_tried.push_back(target);
  }
  return target;
}

const Target*
TargetSequence::Next(RetryReason aReason, MonotonicTime aNow)
{
  if (m_isPinned) {
    return NextPinnedTarget(aReason, aNow);
  }
  // Retries go to the old version of the move: it is proven, and the new
  // version must not get more than its share.
  const VersionSplit& split = m_setup.m_service.m_split;
  const bool requiresCapacity =
    HasObjective() &&
    (aReason == RetryReason::Overload || aReason == RetryReason::Shed ||
     aReason == RetryReason::Failed);
  const Target* target = ChooseAmong(split.m_from, requiresCapacity, aNow);
  if (target == nullptr && split.m_toShare == Share::All()) {
    target = ChooseAmong(split.m_to, requiresCapacity, aNow);
  }
  if (target != nullptr) {
    m_tried.push_back(target);
  }
  return target;
}

const Target*
TargetSequence::NextPinnedTarget(RetryReason aReason, MonotonicTime aNow)
{
  switch (aReason) {
    case RetryReason::NotSent:
    case RetryReason::NotReceived:
      return m_tried.back();
    case RetryReason::Draining: {
      const Target* next = NextHome();
      // The former home of the last rank is not known, and may have run the
      // operation.
      if (next == nullptr || (m_tried.size() + 1 == KeyPlacement::kRanks &&
                              JoinedRecently(next, aNow))) {
        return nullptr;
      }
      m_tried.push_back(next);
      return next;
    }
    case RetryReason::TargetGone:
      // The upstream may come back, and a repeat would then run a second time
      // there.
    case RetryReason::Overload:
    case RetryReason::Shed:
    case RetryReason::Failed:
      break;
  }
  return nullptr;
}

const Target*
TargetSequence::NextHome() const
{
  const std::size_t rank = m_tried.size();
  if (!m_isPinned || rank == 0 || rank >= KeyPlacement::kRanks) {
    return nullptr;
  }
  return m_setup.m_service.m_keys->Home(
    m_setup.m_operation, m_tried.front()->m_version, rank);
}

const Target*
TargetSequence::NextFormerHome(MonotonicTime aNow)
{
  while (m_isPinned && m_formerHomes < kFormerHomeCandidates) {
    const Target* former = FormerHome(m_formerHomes++, aNow);
    if (former != nullptr) {
      return former;
    }
  }
  return nullptr;
}

const Target*
TargetSequence::FormerHome(std::size_t aIndex, MonotonicTime aNow) const
{
  const VersionSplit& split = m_setup.m_service.m_split;
  const KeyPlacement& keys = *m_setup.m_service.m_keys;
  const OperationId& key = m_setup.m_operation;
  const UpstreamVersion& version = VersionSplitter::ChooseForKey(split, key);
  const UpstreamVersion& other =
    version == split.m_to ? split.m_from : split.m_to;
  switch (aIndex) {
    case 0:
      return split.m_move ? keys.Home(key, other) : nullptr;
    case 1:
      return FormerHomeOf(version, 0, aNow);
    default:
      return split.m_move ? FormerHomeOf(other, 0, aNow) : nullptr;
  }
}

const Target*
TargetSequence::FormerHomeOfNext(MonotonicTime aNow) const
{
  // NextFormerHome already covers the first home.
  return !m_isPinned || m_tried.size() < 2
           ? nullptr
           : FormerHomeOf(m_tried.front()->m_version, m_tried.size() - 1, aNow);
}

const Target*
TargetSequence::FormerHomeOf(const UpstreamVersion& aVersion,
                             std::size_t aRank,
                             MonotonicTime aNow) const
{
  const KeyPlacement& keys = *m_setup.m_service.m_keys;
  const OperationId& key = m_setup.m_operation;
  const bool joinedRecently =
    JoinedRecently(keys.Home(key, aVersion, aRank), aNow);
  return joinedRecently && aRank + 1 < KeyPlacement::kRanks
           ? keys.Home(key, aVersion, aRank + 1)
           : nullptr;
}

Duration
TargetSequence::TimeToObjective(MonotonicTime aNow) const
{
  return HasObjective() ? std::max(m_setup.m_objective - aNow, Duration(0))
                        : Duration(0);
}

const Target*
TargetSequence::ChooseAmong(const UpstreamVersion& aVersion,
                            bool aRequiresCapacity,
                            MonotonicTime aNow)
{
  std::vector<const Target*>& candidates = m_setup.m_policies.m_candidates;
  candidates.clear();
  for (const Target& target : m_setup.m_service.m_targets) {
    if (m_setup.m_service.m_split.Fits(aVersion, target.m_version) &&
        !WasTried(target.m_vm)) {
      candidates.push_back(&target);
    }
  }
  const std::optional<std::size_t> index =
    m_setup.m_policies.m_balancing.Choose(
      candidates,
      m_tried.size(),
      m_setup.m_dataCentre,
      { TimeToObjective(aNow), aRequiresCapacity, m_setup.m_bodyBytes },
      aNow,
      m_setup.m_policies.m_random);
  return index ? candidates[*index] : nullptr;
}

bool
TargetSequence::WasTried(const VmId& aVm) const
{
  return std::any_of(
    m_tried.begin(), m_tried.end(), [&](const Target* aTarget) {
      return aTarget->m_vm == aVm;
    });
}

} // namespace tarragontray
