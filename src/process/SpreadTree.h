/// \file
/// Spanning trees over the live members of a cell or a data centre, for urgent
/// updates.
///
/// The node that starts a spread is the root and draws a random seed. Every
/// member computes the same tree from (root, seed, members), so that trees need
/// neither agreement nor storage. A new seed for each datagram distributes the
/// load of the inner nodes evenly. When membership views differ or a datagram
/// is lost, anti-entropy delivers the updates to the members left out.
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

/// The members to which aSelf forwards; empty when aSelf is not a member.
/// \param aSuspects become leaves, because they might not forward.
/// \param aFanout children of each inner node, at least 1.
std::vector<VmId>
TreeChildren(const SpreadPath& aPath,
             const std::vector<VmId>& aMembers,
             const std::vector<VmId>& aSuspects,
             const VmId& aSelf,
             std::size_t aFanout);

/// Remembers the last kMaxPaths paths, so that a node forwards along each path
/// only once. Thread safety: one thread for each instance.
class SeenPaths
{
public:
  /// Returns true when the path is not yet contained.
  bool Insert(const SpreadPath& aPath);

private:
  static constexpr std::size_t kMaxPaths = 1024;

  std::deque<std::uint64_t> m_order;
  std::unordered_set<std::uint64_t> m_paths;
};

/// The part of the membership that the distribution of documents and moves
/// depends on.
class SpreadTopology
{
public:
  virtual ~SpreadTopology() = default;
  /// A new tree with this node as the root.
  virtual SpreadPath NewPath(SpreadScope aScope) = 0;
  /// The addresses to which this node forwards datagrams with this path.
  virtual std::vector<NetworkAddress> ChildrenOf(
    const SpreadPath& aPath) const = 0;
  /// This node's rank among the relays of its cell; empty when it is not a
  /// relay.
  virtual std::optional<std::size_t> RelayRank() const = 0;
  /// This node's rank among those nodes of its data centre that may watch the
  /// platform; empty when it may not. The same as RelayRank() when the data
  /// centre is a cell of its own.
  virtual std::optional<std::size_t> WatchRank() const = 0;
  virtual const VmId& SelfVm() const = 0;
};

} // namespace tarragontray
