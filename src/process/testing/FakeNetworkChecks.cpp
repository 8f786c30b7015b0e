#include <algorithm>
#include <cstdio>

#include "process/testing/FakeNetwork.h"

namespace tarragontray::testing {

bool
FakeNetwork::AllHave(const std::string& aKey, Revision aRevision) const
{
  return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto& aEntry) {
    const FakeNode& node = *aEntry.second;
    const Document* held =
      node.m_gossip->Documents().Table().Find(ObjectKey(aKey));
    return !node.m_isAlive ||
           (held != nullptr && held->m_revision >= aRevision);
  });
}

bool
FakeNetwork::AllViewsMatch(NodeState aAtMost) const
{
  for (const auto& [vm, node] : m_nodes) {
    if (!node->m_isAlive) {
      continue;
    }
    const MemberTable& table = node->m_gossip->Members().Table();
    for (const auto& [otherVm, other] : m_nodes) {
      const MemberRecord* record = table.Find(otherVm);
      const bool isLive = record != nullptr && record->m_state <= aAtMost &&
                          record->m_incarnation ==
                            other->m_gossip->Members().Self().m_incarnation;
      if (isLive != other->m_isAlive) {
        return false;
      }
    }
  }
  return true;
}

void
FakeNetwork::Check(FakeNode& aNode)
{
  Distribution& documents = aNode.m_gossip->Documents();
  for (const Document& document : documents.TakeChanged()) {
    Revision& applied = aNode.m_applied[document.m_key];
    if (document.m_revision <= applied) {
      ++m_violations;
      std::printf("revision of %s decreased\n", document.m_key.Value().c_str());
    }
    applied = document.m_revision;
    aNode.m_appliedAt.emplace(document.m_revision, Now());
  }
  CheckFloors(aNode);
  if (m_isCheckingRecords) {
    CheckRecords(aNode);
  }
}

void
FakeNetwork::CheckFloors(FakeNode& aNode)
{
  if (!aNode.m_gossip->MayServe()) {
    return;
  }
  const VmId& vm = aNode.m_gossip->Members().SelfVm();
  auto& floors = m_floors[vm];
  for (const auto& [key, revision] : aNode.m_applied) {
    Revision& floor = floors[key];
    if (revision < floor) {
      ++m_violations;
      std::printf("%s serves a revision below the floor of %s\n",
                  vm.Value().c_str(),
                  key.Value().c_str());
    }
    floor = revision;
  }
}

void
FakeNetwork::CheckRecords(FakeNode& aNode)
{
  for (const auto& [vm, record] : aNode.m_gossip->Members().Members()) {
    const auto [known, isNew] = aNode.m_records.try_emplace(vm, record);
    if (isNew || known->second == record) {
      continue;
    }
    if (!Supersedes(record, known->second)) {
      ++m_violations;
      std::printf("record of %s was replaced by an older one\n",
                  vm.Value().c_str());
    }
    known->second = record;
  }
}

} // namespace tarragontray::testing
