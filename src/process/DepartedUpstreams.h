/// \file
/// The upstream processes of one VM that have announced their end.
///
/// A node that has acknowledged such an announcement must not use that process
/// again. The list therefore outlives the node's process: it is part of the
/// VM's membership record, which peers hold, and of its entry on the platform.
/// Copies are merged by union, in any order and any number of times.
///
///     DepartedUpstreams departed;
///     departed.Add({ UpstreamInstanceId("i-1"), UpstreamBirth(100) });
///     departed.Merge(theirs);
///     if (departed.Covers(process)) { ... }
///
/// Thread safety: values.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"

namespace tarragontray {

/// Distinguishes successive upstream processes at one address; a later process
/// has a higher number.
using UpstreamBirth = Amount<struct UpstreamBirthTag>;

/// Identifies one process of an upstream, from its start to its end.
struct UpstreamProcess
{
  UpstreamInstanceId m_instance;
  /// Not set: all processes with this instance name.
  std::optional<UpstreamBirth> m_birth;

  bool operator==(const UpstreamProcess&) const = default;
};

/// Where a node that starts learns which upstream processes of its VM have
/// departed.
enum class DepartureHistory
{
  /// No process of this node has run before.
  None,
  /// From the peers, while it joins them.
  Peers,
  /// From its entry on the platform, or else from a majority of its peers.
  PlatformOrPeers,
};

/// See the file comment.
class DepartedUpstreams
{
public:
  /// More than one process departs only while upstreams replace each other on
  /// the VM. Beyond this bound those with the lowest births are dropped.
  static constexpr std::size_t kMaxProcesses = 8;

  /// \return whether the list changed.
  bool Add(const UpstreamProcess& aProcess);
  /// Adds all processes of the other list. \return whether this list changed.
  bool Merge(const DepartedUpstreams& aOther);
  /// Whether the process has announced its end: an entry has its instance name
  /// and no lower birth. A birth that is not set matches every birth.
  bool Covers(const UpstreamProcess& aProcess) const;

  /// Ordered by birth; without a birth first.
  const std::vector<UpstreamProcess>& Processes() const { return m_processes; }
  bool IsEmpty() const { return m_processes.empty(); }

  bool operator==(const DepartedUpstreams&) const = default;

private:
  std::vector<UpstreamProcess> m_processes;
};

} // namespace tarragontray
