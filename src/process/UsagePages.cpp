#include "process/UsagePages.h"

namespace tarragontray {

void
UsagePages::Put(const UsageReport& aReport)
{
  const SourceId source{ aReport.m_vm, aReport.m_incarnation };
  const auto next =
    UsagePageNumber(static_cast<std::uint32_t>(m_pageOf.size() / kSources));
  const UsagePageNumber number =
    m_pageOf.try_emplace(source, next).first->second;
  m_pages[number][source] = aReport;
  m_changed.insert(number);
}

std::vector<UsagePage>
UsagePages::TakeChanged()
{
  std::vector<UsagePage> changed;
  for (const UsagePageNumber number : std::exchange(m_changed, {})) {
    UsagePage page{ m_vm, m_incarnation, number, {} };
    for (const auto& [source, report] : m_pages[number]) {
      page.m_reports.push_back(report);
    }
    changed.push_back(std::move(page));
  }
  return changed;
}

void
UsagePages::WriteAll()
{
  for (const auto& [number, reports] : m_pages) {
    m_changed.insert(number);
  }
}

} // namespace tarragontray
