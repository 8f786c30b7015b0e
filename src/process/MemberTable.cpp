#include "process/MemberTable.h"

#include <tuple>

namespace tarragontray {

bool
Supersedes(const MemberRecord& aNew, const MemberRecord& aOld)
{
  return std::tie(aNew.m_incarnation, aNew.m_sequence, aNew.m_state) >
         std::tie(aOld.m_incarnation, aOld.m_sequence, aOld.m_state);
}

namespace {

/// Whether a change of the record changes the lists of live members.
bool
IsSamePlace(const MemberRecord& aLeft, const MemberRecord& aRight)
{
  return aLeft.m_state == aRight.m_state && aLeft.m_cell == aRight.m_cell &&
         aLeft.m_dataCentre == aRight.m_dataCentre;
}

const LiveMembers&
FindOrEmpty(const std::map<DataCentreId, LiveMembers>& aMembers,
            const DataCentreId& aId)
{
  static const LiveMembers kNone;
  const auto found = aMembers.find(aId);
  return found == aMembers.end() ? kNone : found->second;
}

} // namespace

MemberTable::MemberTable(const MemberTableSettings& aSettings)
  : m_settings(aSettings)
{
}

bool
MemberTable::Apply(const MemberRecord& aRecord, MonotonicTime aNow)
{
  const auto found = m_members.find(aRecord.m_vm);
  if (found == m_members.end()) {
    if (m_members.size() >= m_settings.m_maxMembers) {
      ++m_refused;
      return false;
    }
    m_members.emplace(aRecord.m_vm, aRecord);
    ++m_liveGeneration;
  } else if (Supersedes(aRecord, found->second)) {
    Toggle(found->second);
    m_liveGeneration += IsSamePlace(aRecord, found->second) ? 0 : 1;
    Replace(found->second, aRecord);
  } else {
    return false;
  }
  Toggle(aRecord);
  if (aRecord.m_state == NodeState::Dead) {
    m_diedAt[aRecord.m_vm] = aNow;
  } else {
    m_diedAt.erase(aRecord.m_vm);
  }
  return true;
}

void
MemberTable::Replace(MemberRecord& aHeld, const MemberRecord& aNew)
{
  const DepartedUpstreams known = aHeld.m_departed;
  aHeld = aNew;
  if (aHeld.m_departed.Merge(known)) {
    m_inherited.insert(aHeld.m_vm);
  } else {
    m_inherited.erase(aHeld.m_vm);
  }
}

void
MemberTable::ExpireDead(MonotonicTime aNow)
{
  for (auto dead = m_diedAt.begin(); dead != m_diedAt.end();) {
    if (aNow - dead->second < m_settings.m_deadRetention) {
      ++dead;
      continue;
    }
    m_members.erase(dead->first);
    m_inherited.erase(dead->first);
    dead = m_diedAt.erase(dead);
  }
}

const MemberRecord*
MemberTable::Find(const VmId& aVm) const
{
  const auto found = m_members.find(aVm);
  return found == m_members.end() ? nullptr : &found->second;
}

const LiveMembers&
MemberTable::InCell(const DataCentreId& aCell) const
{
  return FindOrEmpty(LiveByCell(), aCell);
}

const LiveMembers&
MemberTable::InDataCentre(const DataCentreId& aDataCentre) const
{
  Rebuild();
  return FindOrEmpty(m_dataCentres, aDataCentre);
}

const std::map<DataCentreId, LiveMembers>&
MemberTable::LiveByCell() const
{
  Rebuild();
  return m_cells;
}

std::vector<VmId>
MemberTable::Dead(const DataCentreId& aDataCentre) const
{
  std::vector<VmId> dead;
  for (const auto& [vm, time] : m_diedAt) {
    if (m_members.at(vm).m_cell == aDataCentre) {
      dead.push_back(vm);
    }
  }
  return dead;
}

std::size_t
MemberTable::RecentCount(const DataCentreId& aCell, MonotonicTime aSince) const
{
  std::size_t count = InCell(aCell).m_all.size();
  for (const auto& [vm, time] : m_diedAt) {
    count += time > aSince && m_members.at(vm).m_cell == aCell ? 1 : 0;
  }
  return count;
}

std::vector<MemberRecord>
MemberTable::Differing(const BucketHashes& aTheirs) const
{
  std::vector<MemberRecord> records;
  for (const auto& [vm, record] : m_members) {
    const std::size_t bucket = BucketOf(vm.Value());
    if (Buckets()[bucket] != aTheirs[bucket]) {
      records.push_back(record);
      if (record.m_state == NodeState::Suspect) {
        records.back().m_state = NodeState::Alive;
      }
    }
  }
  return records;
}

void
MemberTable::Toggle(const MemberRecord& aRecord)
{
  if (aRecord.m_state == NodeState::Dead) {
    return;
  }
  const std::string& key = aRecord.m_vm.Value();
  m_digest.Toggle(
    key, ItemHash(key, aRecord.m_incarnation.Value(), aRecord.m_sequence));
}

void
MemberTable::Rebuild() const
{
  if (m_cachedGeneration == m_liveGeneration) {
    return;
  }
  m_cells.clear();
  m_dataCentres.clear();
  for (const auto& [vm, record] : m_members) {
    if (record.m_state == NodeState::Dead) {
      continue;
    }
    const bool isAlive = record.m_state == NodeState::Alive;
    for (LiveMembers* group :
         { &m_cells[record.m_cell], &m_dataCentres[record.m_dataCentre] }) {
      group->m_all.push_back(vm);
      (isAlive ? group->m_alive : group->m_suspects).push_back(vm);
    }
  }
  m_cachedGeneration = m_liveGeneration;
}

} // namespace tarragontray
