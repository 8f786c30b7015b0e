#include "process/UsagePages.h"

#include <criterion/criterion.h>

namespace tarragontray {

namespace {

UsageReport
Report(int aSource, std::uint64_t aCalls)
{
  return { VmId("vm-" + std::to_string(aSource)),
           Incarnation(1),
           { { {}, { CallCount(aCalls), Duration(0) } } } };
}

UsagePages
MakePages()
{
  return { VmId("writer"), Incarnation(7) };
}

} // namespace

Test(UsagePages, ReportsOfADataCentreShareAnObject)
{
  UsagePages pages = MakePages();
  for (int source = 0; source < 50; ++source) {
    pages.Put(Report(source, 1));
    pages.Put(Report(source, 2));
  }
  const std::vector<UsagePage> changed = pages.TakeChanged();
  cr_assert_eq(changed.size(), 1);
  cr_assert_eq(changed[0].m_reports.size(), 50);
  for (const UsageReport& report : changed[0].m_reports) {
    cr_assert(report.m_entries.front().m_usage.m_calls == CallCount(2));
  }
  cr_assert(pages.TakeChanged().empty());
  pages.WriteFailed(changed[0].m_number);
  cr_assert_eq(pages.TakeChanged().size(), 1);
}

Test(UsagePages, ASourceStaysOnItsPage)
{
  UsagePages pages = MakePages();
  constexpr int kSources = 2 * static_cast<int>(UsagePages::kSources) + 1;
  for (int source = 0; source < kSources; ++source) {
    pages.Put(Report(source, 1));
  }
  cr_assert_eq(pages.TakeChanged().size(), 3);
  pages.Put(Report(0, 2));
  const std::vector<UsagePage> changed = pages.TakeChanged();
  cr_assert_eq(changed.size(), 1);
  cr_assert_eq(changed[0].m_reports.size(), UsagePages::kSources);
  pages.WriteAll();
  cr_assert_eq(pages.TakeChanged().size(), 3);
}

} // namespace tarragontray
