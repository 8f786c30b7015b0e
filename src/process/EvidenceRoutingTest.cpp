#include "process/EvidenceRouting.h"

#include <criterion/criterion.h>

#include "process/DatagramSize.h"

namespace tarragontray {

Test(EvidenceRouting, SplitsALargeReportIntoDatagramsWithinTheSizeLimit)
{
  constexpr std::uint64_t kEntries = 64;
  EvidenceReport report;
  report.m_reporter = VmId("vm-1");
  report.m_move.m_service = { ClientAccountId("a"), ServiceName("s") };
  for (std::uint64_t i = 0; i < kEntries; ++i) {
    EvidenceEntry entry;
    entry.m_route = RouteName("route-" + std::to_string(i));
    entry.m_target = VmId("a-rather-long-name-of-a-vm-" + std::to_string(i));
    entry.m_counters.m_calls = 1'000'000 + i;
    entry.m_counters.m_latency.fill(100'000);
    report.m_entries.push_back(entry);
  }
  std::uint64_t calls = 0;
  std::size_t entries = 0;
  const auto datagrams = PackEvidence(VmId("vm-1"), report);
  for (const Datagram& datagram : datagrams) {
    cr_assert(EncodedSize(datagram) <= kMaxDatagramBytes);
    const EvidenceReport& part = datagram.m_evidence.front();
    cr_assert(part.m_move == report.m_move);
    entries += part.m_entries.size();
    for (const EvidenceEntry& entry : part.m_entries) {
      calls += entry.m_counters.m_calls;
    }
  }
  cr_assert(datagrams.size() > 1);
  cr_assert_eq(entries, kEntries);
  cr_assert_eq(calls, kEntries * 1'000'000 + kEntries * (kEntries - 1) / 2);
}

/// It shows that the reporter is reachable.
Test(EvidenceRouting, ReportWithoutEntriesIsSent)
{
  EvidenceReport report;
  report.m_reporter = VmId("vm-1");
  const auto datagrams = PackEvidence(VmId("vm-1"), report);
  cr_assert_eq(datagrams.size(), 1);
  cr_assert_eq(datagrams[0].m_evidence.size(), 1);
}

Test(EvidenceRouting, OnlyLiveNodesOfTheSameDataCentreAreNeighbours)
{
  MembersByVm members;
  const auto add = [&](const char* aVm, const char* aCentre, NodeState aState) {
    MemberRecord& member = members[VmId(aVm)];
    member.m_vm = VmId(aVm);
    member.m_dataCentre = DataCentreId(aCentre);
    member.m_cell = member.m_dataCentre;
    member.m_state = aState;
  };
  add("a", "one", NodeState::Alive);
  add("b", "one", NodeState::Suspect);
  add("c", "one", NodeState::Alive);
  add("d", "two", NodeState::Alive);
  add("e", "three", NodeState::Dead);
  const auto neighbours = LiveNeighbours(members, members.at(VmId("a")));
  cr_assert(neighbours == (std::vector<VmId>{ VmId("a"), VmId("c") }));
  const std::set<DataCentreId> expected{ DataCentreId("one"),
                                         DataCentreId("two") };
  cr_assert(ReachableDataCentres(members) == expected);
}

} // namespace tarragontray
