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
#include <utility>
#include <vector>

#include "base/Ids.h"
#include "process/Datagram.h"
#include "process/DatagramSize.h"
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

/// Splits the entries of a report into datagrams of at most kMaxDatagramBytes
/// each. A report without entries takes one datagram.
/// \param aReports the member of Datagram that holds reports of this type.
template<typename Report>
std::vector<Datagram>
PackReport(const VmId& aFrom,
           const Report& aReport,
           std::vector<Report> Datagram::*aReports)
{
  Report head = aReport;
  head.m_entries.clear();
  Datagram empty;
  empty.m_kind = DatagramKind::Update;
  empty.m_from = aFrom;
  (empty.*aReports).push_back(std::move(head));
  std::vector<Datagram> datagrams{ empty };
  for (const auto& entry : aReport.m_entries) {
    auto& entries = (datagrams.back().*aReports).front().m_entries;
    entries.push_back(entry);
    if (entries.size() > 1 &&
        EncodedSize(datagrams.back()) > kMaxDatagramBytes) {
      entries.pop_back();
      datagrams.push_back(empty);
      (datagrams.back().*aReports).front().m_entries.push_back(entry);
    }
  }
  return datagrams;
}

/// PackReport() for evidence. A report without entries still shows that the
/// node is reachable.
std::vector<Datagram>
PackEvidence(const VmId& aFrom, const EvidenceReport& aReport);

/// Converts the first attempt of a call to its contribution to the evidence.
LocalObservation
ObservationOf(const AttemptObservation& aAttempt, const MembersByVm& aMembers);

} // namespace tarragontray
