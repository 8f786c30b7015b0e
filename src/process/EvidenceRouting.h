/// \file
/// Where a node's evidence of a move goes, and in which datagrams.
///
///     const std::vector<VmId> vms = LiveNeighbours(members, self);
///     const auto receiver = PickCoordinator(report.m_move, dataCentre, vms);
///     for (Datagram& datagram : PackEvidence(self.m_vm, report)) { ... }
///
/// Thread safety: pure functions.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "base/Ids.h"
#include "process/Datagram.h"
#include "process/MemberRecord.h"
#include "request/CallPlan.h"
#include "version/LocalEvidence.h"

namespace tarragontray {

using MembersByVm = std::map<VmId, MemberRecord>;

/// The VMs with live nodes in aSelf's data centre, aSelf's own among them.
std::vector<VmId>
LiveNeighbours(const MembersByVm& aMembers, const MemberRecord& aSelf);

/// The data centres with a node that is not dead.
std::set<DataCentreId>
ReachableDataCentres(const MembersByVm& aMembers);

/// Splits a report into datagrams of at most kMaxDatagramBytes.
std::vector<Datagram>
PackEvidence(const VmId& aFrom, const EvidenceReport& aReport);

/// What one first attempt adds to the evidence.
LocalObservation
ObservationOf(const AttemptObservation& aAttempt, const MembersByVm& aMembers);

} // namespace tarragontray
