#include "version/NodeMoveMonitor.h"

#include <algorithm>

#include "version/LoadComparison.h"

namespace tarragontray {

Verdict
NodeMoveMonitor::Observe(const EvidenceReport& aWhole,
                         const WarmSlots& aSlots,
                         Share aShare,
                         MonotonicTime aNow)
{
  m_table.AddReport(aWhole);
  EvidenceWindow window = m_table.TakeWindow(aNow);
  window.m_oldSlots = aSlots.m_old;
  window.m_newSlots = aSlots.m_new;
  window.m_share = std::min(aShare, m_shareLimit);
  Verdict verdict = m_judge->Judge(window);
  switch (verdict.m_kind) {
    case VerdictKind::Bad:
      m_shareLimit = Share::None();
      break;
    case VerdictKind::NeedsComparison:
      m_shareLimit = EqualLoadShare(aSlots.m_old, aSlots.m_new);
      break;
    case VerdictKind::Clear:
      m_shareLimit = Share::All();
      break;
    case VerdictKind::Suspect:
      break;
  }
  return verdict;
}

} // namespace tarragontray
