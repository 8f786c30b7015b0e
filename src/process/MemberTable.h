/// \file
/// The records of all known VMs, with the rule which of two records wins.
///
///     MemberTable table(MemberTableSettings{});
///     bool changed = table.Apply(record, now);
///
/// A record never gives way to an older one: the higher (incarnation,
/// sequence) wins, at equal ones the graver state. Dead records stay for
/// m_deadRetention, so that old rumours about a dead member lose.
///
/// Thread safety: one thread for each instance.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"
#include "process/BucketDigest.h"
#include "process/MemberRecord.h"

namespace tarragontray {

struct MemberTableSettings
{
  std::size_t m_maxMembers = 4096;
  /// Longer than regions lose each other.
  Duration m_deadRetention = std::chrono::hours(6);
};

/// True when aNew tells more than aOld, which is of the same VM.
bool
Supersedes(const MemberRecord& aNew, const MemberRecord& aOld);

/// All known members, dead ones included.
class MemberTable
{
public:
  explicit MemberTable(const MemberTableSettings& aSettings);

  /// True when the record was news. A full table refuses unknown VMs.
  bool Apply(const MemberRecord& aRecord, MonotonicTime aNow);
  /// Forgets members that have been dead for the retention time.
  void ExpireDead(MonotonicTime aNow);

  const std::map<VmId, MemberRecord>& Members() const { return m_members; }
  const MemberRecord* Find(const VmId& aVm) const;
  /// The members of a data centre that are not dead, in order.
  const std::vector<VmId>& Live(const DataCentreId& aDataCentre) const;
  /// The data centres with at least one such member, in order.
  const std::map<DataCentreId, std::vector<VmId>>& LiveByDataCentre() const;
  /// Dead members of a data centre.
  std::vector<VmId> Dead(const DataCentreId& aDataCentre) const;

  /// Over the members that are not dead; Suspect and Alive count the same.
  std::uint32_t Digest() const
  {
    return static_cast<std::uint32_t>(m_digest.Whole());
  }
  const BucketHashes& Buckets() const { return m_digest.Buckets(); }
  /// The records in the buckets whose hashes differ. A Suspect is given as
  /// Alive: a suspicion is spread by those who probe, not by repair.
  std::vector<MemberRecord> Differing(const BucketHashes& aTheirs) const;

  std::uint64_t Refused() const { return m_refused; }

private:
  void Toggle(const MemberRecord& aRecord);
  void Rebuild() const;

  MemberTableSettings m_settings;
  std::map<VmId, MemberRecord> m_members;
  std::map<VmId, MonotonicTime> m_diedAt;
  BucketDigest m_digest;
  std::uint64_t m_refused = 0;
  /// Rebuilt when asked for after a change.
  mutable std::map<DataCentreId, std::vector<VmId>> m_live;
  mutable bool m_liveIsStale = false;
};

} // namespace tarragontray
