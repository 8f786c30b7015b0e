/// \file
/// Spanning trees over the live members of a data centre, for urgent news.
///
/// The node that starts a spread is the root and draws a seed. Every member
/// derives the same tree from (root, seed, members), so that no tree is ever
/// agreed or kept, and a new seed for each datagram spreads the work of the
/// inner nodes evenly. Where members disagree or a datagram is lost, digests
/// repair the rest.
///
///     for (const VmId& child : TreeChildren(path, members, {}, self, 4)) { ...
///     }
///
/// Thread safety: pure functions; SpreadTopology: one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_set>
#include <vector>

#include "base/Ids.h"
#include "base/NetworkAddress.h"
#include "process/Datagram.h"

namespace tarragontray {

/// The members that aSelf forwards to; empty when aSelf is not a member.
/// \param aSuspects are leaves: what passed through them might be lost.
/// \param aFanout children of each inner node, at least 1.
std::vector<VmId>
TreeChildren(const SpreadPath& aPath,
             const std::vector<VmId>& aMembers,
             const std::vector<VmId>& aSuspects,
             const VmId& aSelf,
             std::size_t aFanout);

/// The latest paths along which this node forwarded, so that it forwards along
/// each once. Thread safety: one thread for each instance.
class SeenPaths
{
public:
  /// True the first time.
  bool Insert(const SpreadPath& aPath);

private:
  static constexpr std::size_t kMaxPaths = 1024;

  std::deque<std::uint64_t> m_order;
  std::unordered_set<std::uint64_t> m_paths;
};

/// What the spreading of documents and moves needs to know of the membership.
class SpreadTopology
{
public:
  virtual ~SpreadTopology() = default;
  /// A new tree with this node as the root.
  virtual SpreadPath NewPath() = 0;
  /// Where this node forwards what came along the path.
  virtual std::vector<NetworkAddress> ChildrenOf(
    const SpreadPath& aPath) const = 0;
  /// This node's rank among the relays of its data centre; empty when it is
  /// none.
  virtual std::optional<std::size_t> RelayRank() const = 0;
  virtual const VmId& SelfVm() const = 0;
};

} // namespace tarragontray
