/// \file
/// Groups usage reports into the objects in which one node writes them to the
/// platform, so that a data centre costs a few writes in each round instead of
/// one for each of its nodes.
///
///     UsagePages pages(vm, incarnation);
///     pages.Put(report);
///     for (const UsagePage& page : pages.TakeChanged()) { Write(page); }
///     pages.WriteFailed(page.m_number);
///
/// A source stays on the page that it was first put on. Pages belong to their
/// writer, so that two nodes never write the same object; readers take the
/// maximum of what several writers' pages say of one source.
///
/// Thread safety: one thread for each instance.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "base/Ids.h"
#include "process/UsageReport.h"

namespace tarragontray {

using UsagePageNumber = Amount<struct UsagePageNumberTag, std::uint32_t>;

/// One object: the newest reports of some sources.
struct UsagePage
{
  /// The writer.
  VmId m_vm;
  Incarnation m_incarnation;
  UsagePageNumber m_number;
  std::vector<UsageReport> m_reports;
};

/// See the file comment.
class UsagePages
{
public:
  /// Sources on one page. A report of a few pairs of accounts takes about 150
  /// bytes, so that a page stays far below the platform's limit.
  static constexpr std::size_t kSources = 256;

  UsagePages(VmId aVm, Incarnation aIncarnation)
    : m_vm(std::move(aVm))
    , m_incarnation(aIncarnation)
  {
  }

  /// Adds a report, or replaces an earlier one of the same source.
  void Put(const UsageReport& aReport);
  /// The pages that changed since the last call. They count as written unless
  /// WriteFailed() is called.
  std::vector<UsagePage> TakeChanged();
  /// Returns the page from TakeChanged() again, because its write failed or
  /// its outcome is unknown.
  void WriteFailed(UsagePageNumber aNumber) { m_changed.insert(aNumber); }
  /// Returns every page again, because the platform lost writes.
  void WriteAll();

private:
  using SourceId = std::pair<VmId, Incarnation>;

  VmId m_vm;
  Incarnation m_incarnation;
  std::map<SourceId, UsagePageNumber> m_pageOf;
  std::map<UsagePageNumber, std::map<SourceId, UsageReport>> m_pages;
  std::set<UsagePageNumber> m_changed;
};

} // namespace tarragontray
