#include "process/DocumentRevisions.h"

#include <criterion/criterion.h>

namespace tarragontray {

namespace {

Document
Make(const char* aKey, std::uint64_t aRevision, std::size_t aSize = 10)
{
  return { ObjectKey(aKey), Revision(aRevision), std::string(aSize, 'x') };
}

DocumentRevisions
Table()
{
  return DocumentRevisions(
    { .m_maxKeys = 2, .m_maxRevisions = 2, .m_maxBytes = ByteCount{ 100 } });
}

} // namespace

Test(DocumentRevisions, KeepsTheNewestRevisionsOfAKey)
{
  DocumentRevisions table = Table();
  cr_assert(table.Put(Make("a", 5)) == PutResult::Stored);
  cr_assert(table.Put(Make("a", 5)) == PutResult::Stale);
  cr_assert(table.Put(Make("a", 3)) == PutResult::Stored);
  cr_assert(table.Put(Make("a", 2)) == PutResult::Stale);
  cr_assert(table.Put(Make("a", 7)) == PutResult::Stored);
  cr_assert(table.Newest(ObjectKey("a"))->m_revision == Revision{ 7 });
  const auto revisions = table.Revisions(ObjectKey("a"));
  cr_assert(revisions.size() == 2);
  cr_assert(revisions[1]->m_revision == Revision{ 5 });
}

Test(DocumentRevisions, DroppedRevisionsStayStale)
{
  DocumentRevisions table = Table();
  table.Put(Make("a", 5));
  table.DropBelow(ObjectKey("a"), Revision{ 6 });
  cr_assert(table.Newest(ObjectKey("a")) == nullptr);
  cr_assert(table.Put(Make("a", 5)) == PutResult::Stale);
  cr_assert(table.Put(Make("a", 6)) == PutResult::Stored);
}

Test(DocumentRevisions, RejectsDocumentsOverItsLimits)
{
  DocumentRevisions table = Table();
  cr_assert(table.Put(Make("a", 1, 200)) == PutResult::LimitExceeded);
  cr_assert(table.Newest(ObjectKey("a")) == nullptr);
  table.Put(Make("a", 1));
  table.Put(Make("b", 2));
  cr_assert(table.Put(Make("c", 3)) == PutResult::LimitExceeded);
  cr_assert(table.Put(Make("b", 3, 90)) == PutResult::LimitExceeded);
}

Test(DocumentRevisions, DropOldestRespectsThePredicate)
{
  DocumentRevisions table = Table();
  table.Put(Make("a", 1));
  table.Put(Make("b", 2));
  const auto allButA = [](const ObjectKey& aKey) {
    return aKey != ObjectKey("a");
  };
  cr_assert(table.DropOldest(allButA));
  cr_assert(table.Newest(ObjectKey("b")) == nullptr);
  cr_assert(!table.DropOldest(allButA));
  cr_assert(table.All().size() == 1);
  // The bytes of the removed document are available again.
  cr_assert(table.Put(Make("b", 3, 80)) == PutResult::Stored);
}

} // namespace tarragontray
