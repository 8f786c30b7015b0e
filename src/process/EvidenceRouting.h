/// \file
/// Helpers that collect a node's evidence of a traffic move, pack it into
/// datagrams and select the nodes that can be its receiver.
///
///     const std::vector<VmId> vms = LiveNeighbours(members, self);
///     const auto receiver = PickCoordinator(report.m_move, self.m_cell, vms);
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

/// The VMs in aSelf's cell whose node is alive, including aSelf if alive.
std::vector<VmId>
LiveNeighbours(const MembersByVm& aMembers, const MemberRecord& aSelf);

/// The cells with at least one node that is not dead.
std::set<DataCentreId>
ReachableDataCentres(const MembersByVm& aMembers);

/// Splits a report into datagrams of at most kMaxDatagramBytes each.
std::vector<Datagram>
PackEvidence(const VmId& aFrom, const EvidenceReport& aReport);

/// Converts the first attempt of a call to its contribution to the evidence.
LocalObservation
ObservationOf(const AttemptObservation& aAttempt, const MembersByVm& aMembers);

} // namespace tarragontray
