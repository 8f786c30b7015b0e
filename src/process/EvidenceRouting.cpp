#include "process/EvidenceRouting.h"

#include "process/DatagramSize.h"

namespace tarragontray {

std::vector<VmId>
LiveNeighbours(const MembersByVm& aMembers, const MemberRecord& aSelf)
{
  std::vector<VmId> neighbours;
  for (const auto& [vm, member] : aMembers) {
    if (member.m_cell == aSelf.m_cell && member.m_state == NodeState::Alive) {
      neighbours.push_back(vm);
    }
  }
  return neighbours;
}

std::set<DataCentreId>
ReachableDataCentres(const MembersByVm& aMembers)
{
  std::set<DataCentreId> dataCentres;
  for (const auto& [vm, member] : aMembers) {
    if (member.m_state != NodeState::Dead) {
      dataCentres.insert(member.m_cell);
    }
  }
  return dataCentres;
}

std::vector<Datagram>
PackEvidence(const VmId& aFrom, const EvidenceReport& aReport)
{
  EvidenceReport head = aReport;
  head.m_entries.clear();
  Datagram empty;
  empty.m_kind = DatagramKind::Update;
  empty.m_from = aFrom;
  empty.m_evidence.push_back(head);
  // A report without entries still shows that the node is reachable.
  std::vector<Datagram> datagrams{ empty };
  for (const EvidenceEntry& entry : aReport.m_entries) {
    auto& entries = datagrams.back().m_evidence.front().m_entries;
    entries.push_back(entry);
    if (entries.size() > 1 &&
        EncodedSize(datagrams.back()) > kMaxDatagramBytes) {
      entries.pop_back();
      datagrams.push_back(empty);
      datagrams.back().m_evidence.front().m_entries.push_back(entry);
    }
  }
  return datagrams;
}

LocalObservation
ObservationOf(const AttemptObservation& aAttempt, const MembersByVm& aMembers)
{
  const auto target = aMembers.find(aAttempt.m_target);
  LocalObservation observation;
  observation.m_service = aAttempt.m_service;
  observation.m_route = aAttempt.m_route;
  observation.m_version = aAttempt.m_version;
  observation.m_target = aAttempt.m_target;
  observation.m_isStarting =
    target != aMembers.end() &&
    target->second.m_upstream.m_state == UpstreamState::Starting;
  VersionCounters& counters = observation.m_delta;
  counters.m_calls = 1;
  counters.m_failures = aAttempt.m_failed ? 1 : 0;
  counters.m_callerErrors = aAttempt.m_isCallerError ? 1 : 0;
  counters.m_latency[LatencyBucket(aAttempt.m_latency)] = 1;
  return observation;
}

} // namespace tarragontray
