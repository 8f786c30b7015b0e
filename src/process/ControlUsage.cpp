/// The part of ControlCore that reports usage. One node of each data centre
/// writes the reports of all, since writes would otherwise grow with the fleet.
#include <utility>

#include "process/ControlCore.h"
#include "process/DatagramSize.h"

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
  Datagram empty;
  empty.m_from = m_gossip.Members().SelfVm();
  empty.m_usage.push_back({ aReport.m_vm, aReport.m_incarnation, {} });
  std::vector<Datagram> datagrams{ empty };
  for (const UsageEntry& entry : aReport.m_entries) {
    auto& entries = datagrams.back().m_usage.front().m_entries;
    entries.push_back(entry);
    if (entries.size() > 1 &&
        EncodedSize(datagrams.back()) > kMaxDatagramBytes) {
      entries.pop_back();
      datagrams.push_back(empty);
      datagrams.back().m_usage.front().m_entries.push_back(entry);
    }
  }
  for (Datagram& datagram : datagrams) {
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
}

} // namespace tarragontray
