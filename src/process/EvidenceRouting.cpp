#include "process/EvidenceRouting.h"

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
  return PackReport(aFrom, aReport, &Datagram::m_evidence);
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
