#include "request/TargetSequence.h"

#include <algorithm>
#include <optional>

#include "request/Subset.h"

namespace tarragontray {

TargetSequence::TargetSequence(const CallSetup& aSetup)
  : m_setup(aSetup)
  , m_isPlaced(aSetup.m_isCallerKey && !aSetup.m_route.m_idempotent &&
               aSetup.m_service.m_keys != nullptr)
{
}

const Target*
TargetSequence::First(MonotonicTime aNow)
{
  const VersionSplit& split = m_setup.m_service.m_split;
  const Target* target = nullptr;
  if (m_isPlaced) {
    target = m_setup.m_service.m_keys->Home(
      m_setup.m_operation,
      VersionSplitter::ChooseForKey(split, m_setup.m_operation));
  } else {
    target = ChooseAmong(m_setup.m_policies.m_splitter.Choose(split), aNow);
    if (target == nullptr) {
      target = ChooseAmong(split.m_from, aNow);
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
  if (m_isPlaced) {
    return NextPlaced(aReason);
  }
  // Retries go to the version that the move comes from: it is the known one,
  // and the new one keeps to its share.
  const VersionSplit& split = m_setup.m_service.m_split;
  const Target* target = ChooseAmong(split.m_from, aNow);
  if (target == nullptr && split.m_toShare == Share::All()) {
    target = ChooseAmong(split.m_to, aNow);
  }
  if (target != nullptr) {
    m_tried.push_back(target);
  }
  return target;
}

const Target*
TargetSequence::NextPlaced(RetryReason aReason)
{
  switch (aReason) {
    case RetryReason::NotSent:
    case RetryReason::NotReceived:
      return m_tried.back();
    case RetryReason::Draining: {
      const Target* next = NextHome();
      if (next != nullptr) {
        m_tried.push_back(next);
      }
      return next;
    }
    case RetryReason::TargetGone:
      // The upstream may come back, and a repeat would then run again there.
    case RetryReason::Overload:
    case RetryReason::Failed:
      break;
  }
  return nullptr;
}

const Target*
TargetSequence::NextHome() const
{
  if (!m_isPlaced || m_tried.empty()) {
    return nullptr;
  }
  const Target* next = m_setup.m_service.m_keys->NextHome(
    m_setup.m_operation, m_tried.front()->m_version);
  return next == nullptr || WasTried(next->m_vm) ? nullptr : next;
}

const Target*
TargetSequence::FormerHome() const
{
  const VersionSplit& split = m_setup.m_service.m_split;
  if (!m_isPlaced || !split.m_move) {
    return nullptr;
  }
  const UpstreamVersion& version =
    VersionSplitter::ChooseForKey(split, m_setup.m_operation);
  return m_setup.m_service.m_keys->Home(
    m_setup.m_operation, version == split.m_to ? split.m_from : split.m_to);
}

const Target*
TargetSequence::ChooseAmong(const UpstreamVersion& aVersion, MonotonicTime aNow)
{
  std::vector<const Target*>& candidates = m_setup.m_policies.m_candidates;
  candidates.clear();
  for (const Target& target : m_setup.m_service.m_targets) {
    if (target.m_version == aVersion && !WasTried(target.m_vm)) {
      candidates.push_back(&target);
    }
  }
  const std::optional<std::size_t> index =
    m_setup.m_policies.m_balancing.Choose(candidates,
                                          m_tried.size(),
                                          m_setup.m_dataCentre,
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
