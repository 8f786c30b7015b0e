#include "process/SpreadTree.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "base/Hash.h"

namespace tarragontray {

namespace {

using Order = std::vector<std::pair<std::uint64_t, const VmId*>>;

void
AppendByHash(const SpreadPath& aPath,
             const std::vector<VmId>& aMembers,
             Order& aOrder)
{
  const auto first = static_cast<std::ptrdiff_t>(aOrder.size());
  for (const VmId& member : aMembers) {
    if (member != aPath.m_root) {
      aOrder.emplace_back(StableHash(member.Value(), aPath.m_seed), &member);
    }
  }
  std::sort(aOrder.begin() + first, aOrder.end());
}

} // namespace

std::vector<VmId>
TreeChildren(const SpreadPath& aPath,
             const std::vector<VmId>& aMembers,
             const std::vector<VmId>& aSuspects,
             const VmId& aSelf,
             std::size_t aFanout)
{
  Order order;
  order.reserve(aMembers.size() + aSuspects.size() + 1);
  order.emplace_back(0, &aPath.m_root);
  AppendByHash(aPath, aMembers, order);
  AppendByHash(aPath, aSuspects, order);
  const auto self =
    std::find_if(order.begin(), order.end(), [&](const auto& aEntry) {
      return *aEntry.second == aSelf;
    });
  std::vector<VmId> children;
  if (self == order.end()) {
    return children;
  }
  const auto position = static_cast<std::size_t>(self - order.begin());
  const std::size_t first = position * aFanout + 1;
  const std::size_t last = std::min(first + aFanout, order.size());
  for (std::size_t child = first; child < last; ++child) {
    children.push_back(*order[child].second);
  }
  return children;
}

bool
SeenPaths::Insert(const SpreadPath& aPath)
{
  // Both scopes of one root draw their seeds from the same generator.
  const std::uint64_t path = StableHash(aPath.m_root.Value(), aPath.m_seed);
  if (!m_paths.insert(path).second) {
    return false;
  }
  m_order.push_back(path);
  if (m_order.size() > kMaxPaths) {
    m_paths.erase(m_order.front());
    m_order.pop_front();
  }
  return true;
}

} // namespace tarragontray
