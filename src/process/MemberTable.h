/// \file
/// The membership records of all known VMs, merged by precedence.
///
///     MemberTable table(MemberTableSettings{});
///     bool changed = table.Apply(record, now);
///
/// A record is replaced only by one that supersedes it (see Supersedes()).
/// Dead records stay for m_deadRetention, so that outdated records cannot
/// bring a dead member back. What a record lists as departed upstreams stays
/// with the VM: a record that replaces it inherits the entries that it lacks.
///
/// Thread safety: one thread for each instance.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"
#include "process/BucketDigest.h"
#include "process/MemberRecord.h"

namespace tarragontray {

struct MemberTableSettings
{
  std::size_t m_maxMembers = 4096;
  /// Must exceed the longest partition between regions, since an outdated
  /// record would otherwise bring a dead member back after it.
  Duration m_deadRetention = std::chrono::hours(6);
};

/// True when aNew takes precedence over aOld, a record of the same VM: by
/// (incarnation, sequence), then by the order of NodeState.
bool
Supersedes(const MemberRecord& aNew, const MemberRecord& aOld);

/// The members of a cell or a data centre that are not dead, in order of their
/// ids.
struct LiveMembers
{
  std::vector<VmId> m_all;
  std::vector<VmId> m_alive;
  std::vector<VmId> m_suspects;
};

/// All known members, including dead ones.
class MemberTable
{
public:
  explicit MemberTable(const MemberTableSettings& aSettings);

  /// Returns true when the record is new or supersedes the stored one. A full
  /// table rejects unknown VMs.
  bool Apply(const MemberRecord& aRecord, MonotonicTime aNow);
  /// Removes members that have been dead for m_deadRetention.
  void ExpireDead(MonotonicTime aNow);

  const std::map<VmId, MemberRecord>& Members() const { return m_members; }
  /// Null for an unknown VM. Valid until the record is removed.
  const MemberRecord* Find(const VmId& aVm) const;
  /// Whether the VM's newest record lacked departed upstreams that this table
  /// knew from an earlier one, so that its node has to be told.
  bool HasInherited(const VmId& aVm) const { return m_inherited.contains(aVm); }
  /// The live members of a cell. Valid until the next change.
  const LiveMembers& InCell(const DataCentreId& aCell) const;
  /// The live members of a data centre. Valid until the next change.
  const LiveMembers& InDataCentre(const DataCentreId& aDataCentre) const;
  /// The cells with at least one member that is not dead, in order.
  const std::map<DataCentreId, LiveMembers>& LiveByCell() const;
  /// Increases whenever a member enters or leaves any LiveMembers, or becomes
  /// suspect or alive.
  std::uint64_t LiveGeneration() const { return m_liveGeneration; }
  /// The dead members of a cell.
  std::vector<VmId> Dead(const DataCentreId& aDataCentre) const;

  /// The number of members of a cell that are not dead or died after aSince.
  std::size_t RecentCount(const DataCentreId& aCell,
                          MonotonicTime aSince) const;

  /// Hash over the members that are not dead. Suspect and Alive records hash
  /// alike.
  std::uint32_t Digest() const
  {
    return static_cast<std::uint32_t>(m_digest.Total());
  }
  const BucketHashes& Buckets() const { return m_digest.Buckets(); }
  /// The records in the buckets whose hashes differ from aTheirs. Suspect
  /// records are returned as Alive: suspicions spread only by gossip from the
  /// node whose probe failed, not by anti-entropy.
  std::vector<MemberRecord> Differing(const BucketHashes& aTheirs) const;

  /// How many records were rejected because the table was full.
  std::uint64_t Refused() const { return m_refused; }

private:
  void Toggle(const MemberRecord& aRecord);
  /// Replaces a record, except for the departed upstreams that it lists.
  void Replace(MemberRecord& aHeld, const MemberRecord& aNew);
  void Rebuild() const;
  using LiveById = std::map<DataCentreId, LiveMembers>;

  MemberTableSettings m_settings;
  std::map<VmId, MemberRecord> m_members;
  std::map<VmId, MonotonicTime> m_diedAt;
  std::set<VmId> m_inherited;
  BucketDigest m_digest;
  std::uint64_t m_refused = 0;
  std::uint64_t m_liveGeneration = 0;
  /// Caches of m_liveGeneration; rebuilt on the next access after a change.
  mutable LiveById m_cells;
  mutable LiveById m_dataCentres;
  mutable std::uint64_t m_cachedGeneration = 0;
};

} // namespace tarragontray
