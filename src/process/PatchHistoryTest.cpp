#include "process/PatchHistory.h"

#include <criterion/criterion.h>

namespace tarragontray {

namespace {

const ObjectKey kKey("configurations/mesh");

DocumentPatch
Patch(std::uint64_t aFrom, std::uint64_t aTo, std::size_t aBytes = 10)
{
  DocumentPatch patch;
  patch.m_key = kKey;
  patch.m_base = Revision(aFrom);
  patch.m_revision = Revision(aTo);
  patch.m_bytes = std::string(aBytes, 'x');
  return patch;
}

std::size_t
Steps(const PatchHistory& aHistory, std::uint64_t aFrom, std::uint64_t aTo)
{
  return aHistory.Between(kKey, Revision(aFrom), Revision(aTo)).size();
}

} // namespace

Test(PatchHistory, LeadsFromAnEarlierVersionToTheNewestInOrder)
{
  PatchHistory history({});
  history.Add(Patch(5, 8));
  history.Add(Patch(1, 3));
  history.Add(Patch(3, 5));
  history.Add(Patch(3, 5));
  const auto path = history.Between(kKey, Revision(1), Revision(8));
  cr_assert_eq(path.size(), 3);
  cr_assert(path[0] == Patch(1, 3));
  cr_assert(path[1] == Patch(3, 5));
  cr_assert(path[2] == Patch(5, 8));
  cr_assert_eq(Steps(history, 2, 8), 0);
  cr_assert_eq(Steps(history, 1, 9), 0);
  cr_assert_eq(Steps(history, 8, 8), 0);
}

Test(PatchHistory, KeepsToItsLimits)
{
  PatchHistory history({ .m_maxPatches = 3, .m_maxBytes = ByteCount(100) });
  for (std::uint64_t revision = 1; revision <= 5; ++revision) {
    history.Add(Patch(revision, revision + 1));
  }
  cr_assert_eq(Steps(history, 2, 6), 0);
  cr_assert_eq(Steps(history, 3, 6), 3);
  history.Add(Patch(6, 7, 85));
  cr_assert_eq(Steps(history, 5, 7), 2);
  cr_assert_eq(Steps(history, 4, 7), 0);
  history.Add(Patch(7, 8, 101));
  cr_assert_eq(Steps(history, 7, 8), 0);
  cr_assert_eq(Steps(history, 6, 7), 1);
}

} // namespace tarragontray
