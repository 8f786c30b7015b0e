#include "version/MoveOrder.h"

#include <algorithm>

namespace tarragontray {

namespace {

/// More than one version is unproven only while orders replace each other
/// before they end.
constexpr std::size_t kMaxUnproven = 8;

} // namespace

MoveBase
NextBase(const MoveBase& aBase,
         const UpstreamVersion& aTo,
         const std::optional<MoveState>& aRecorded)
{
  if (aRecorded == MoveState::Done || aTo == aBase.m_from) {
    return { aTo, {} };
  }
  MoveBase next = aBase;
  std::erase(next.m_unproven, aTo);
  next.m_unproven.push_back(aTo);
  if (next.m_unproven.size() > kMaxUnproven) {
    next.m_unproven.erase(next.m_unproven.begin());
  }
  return next;
}

} // namespace tarragontray
