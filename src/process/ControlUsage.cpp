/// The part of ControlCore that reports usage. One node of each data centre
/// writes the reports of all, since writes would otherwise grow with the fleet.
#include <utility>

#include "process/ControlCore.h"
#include "process/EvidenceRouting.h"

namespace tarragontray {

void
ControlCore::ReportUsage(const Times& aTimes, ControlActions& aActions)
{
  const MemberRecord& self = m_gossip.Members().Self();
  const VmId& writer = m_gossip.Members().FirstInDataCentre();
  if (writer != m_usageWriter) {
    m_usageWriter = writer;
    m_ledger.WriteFailed(self.m_vm, self.m_incarnation);
  }
  for (const UsageReport& report : m_ledger.TakeDue(aTimes.m_now)) {
    if (report.m_entries.empty()) {
      continue;
    }
    // Reports of other nodes arrived while this node was the writer.
    if (writer == self.m_vm || report.m_vm != self.m_vm) {
      m_usagePages.Put(report);
      continue;
    }
    SendUsage(report, aActions);
    // The datagram may be lost, and the next report is sent only for new usage.
    if (report != m_usageSent) {
      m_usageSent = report;
      m_ledger.WriteFailed(self.m_vm, self.m_incarnation);
    }
  }
  aActions.m_usage = m_usagePages.TakeChanged();
}

void
ControlCore::SendUsage(const UsageReport& aReport, ControlActions& aActions)
{
  const MemberRecord* writer = m_gossip.Members().Table().Find(m_usageWriter);
  if (writer == nullptr) {
    return;
  }
  for (Datagram& datagram :
       PackReport(m_gossip.Members().SelfVm(), aReport, &Datagram::m_usage)) {
    aActions.m_send.push_back({ writer->m_peerAddress, std::move(datagram) });
  }
}

void
ControlCore::OnUsageNotWritten(UsagePageNumber aPage)
{
  m_usagePages.WriteFailed(aPage);
}

void
ControlCore::OnPlatformRestored()
{
  m_usagePages.WriteAll();
  m_storedDepartures = {};
}

} // namespace tarragontray
