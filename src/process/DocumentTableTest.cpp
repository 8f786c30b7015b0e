#include "process/DocumentTable.h"

#include <algorithm>
#include <vector>

#include <criterion/criterion.h>

#include "base/Random.h"

namespace tarragontray {

namespace {

const ObjectKey kKey("orders/mesh/s");

/// A version of the document in an era of the platform.
Document
Version(std::uint64_t aEra,
        std::uint64_t aNumber,
        std::uint64_t aVersion,
        std::uint64_t aCreated = 1)
{
  return { kKey,
           *RevisionIn(PlatformEra(aEra), aNumber),
           "v" + std::to_string(aVersion),
           WriterVersion(aVersion),
           *RevisionIn(PlatformEra(aEra), aCreated) };
}

Document
Deletion(std::uint64_t aEra, std::uint64_t aNumber)
{
  return { kKey, *RevisionIn(PlatformEra(aEra), aNumber), "" };
}

/// What the table holds after the documents in this order.
Document
Held(const std::vector<Document>& aDocuments)
{
  DocumentTable table(10);
  for (const Document& document : aDocuments) {
    table.Apply(document);
  }
  return *table.Find(kKey);
}

/// Fails unless every order of arrival leads to the expected document.
void
AssertHeldInEveryOrder(std::vector<Document> aDocuments,
                       const Document& aExpected)
{
  const auto isBefore = [](const Document& aLeft, const Document& aRight) {
    return std::tie(aLeft.m_revision, aLeft.m_body) <
           std::tie(aRight.m_revision, aRight.m_body);
  };
  std::sort(aDocuments.begin(), aDocuments.end(), isBefore);
  do {
    const Document held = Held(aDocuments);
    cr_assert(held.m_revision == aExpected.m_revision &&
                held.m_body == aExpected.m_body &&
                held.m_created == aExpected.m_created,
              "holds %s at %llu",
              held.m_body.c_str(),
              static_cast<unsigned long long>(held.m_revision.Value()));
  } while (
    std::next_permutation(aDocuments.begin(), aDocuments.end(), isBefore));
}

} // namespace

Test(DocumentTable, AnOlderCopyInALaterEraComesBack)
{
  const Document newest = Version(1, 25, 18);
  AssertHeldInEveryOrder(
    { Version(1, 20, 12), newest, Version(2, 20, 12), Version(2, 24, 14) },
    newest);
}

Test(DocumentTable, AVersionThatIsWrittenAgainKeepsItsCreation)
{
  Document again = Version(2, 24, 18, 24);
  Document joined = again;
  joined.m_created = Version(1, 25, 18, 25).m_created;
  AssertHeldInEveryOrder({ Version(1, 25, 18, 25), again }, joined);
}

/// A node that starts after the restore reads the version before it hears of
/// the first creation.
Test(DocumentTable, NodesNeverAgreeOnTheCreationOfAVersion)
{
  const Document again = Version(2, 24, 18, 24);
  DocumentTable running(10);
  running.Apply(Version(1, 25, 18, 25));
  running.Apply(again);
  DocumentTable fresh(10);
  fresh.Apply(again);
  cr_assert(fresh.Apply(*running.Find(kKey)));
  cr_assert(!running.Apply(again));
  cr_assert(fresh.Digest() == running.Digest());
  // Also of a deleted object, which one of them has not seen.
  running.Apply(Deletion(2, 30));
  DocumentTable other(10);
  other.Apply(Deletion(2, 30));
  other.Apply(*running.Find(kKey));
  running.Apply(Deletion(2, 30));
  cr_assert(other.Digest() == running.Digest());
}

Test(DocumentTable, ANewVersionWithAnOldNumberIsNotTaken)
{
  const Document change = Version(2, 25, 22);
  AssertHeldInEveryOrder({ Version(1, 25, 18), Version(2, 20, 12), change },
                         change);
}

/// The operator orders an older version once more, long after the restore.
Test(DocumentTable, ALowerVersionWithAHigherNumberIsNotTaken)
{
  const Document change = Version(2, 40, 12);
  AssertHeldInEveryOrder({ Version(1, 25, 18), change }, change);
}

Test(DocumentTable, VersionsWithoutTheWritersNumberFollowTheEra)
{
  const Document change = Version(2, 3, 0);
  AssertHeldInEveryOrder({ Version(1, 25, 0), change }, change);
}

Test(DocumentTable, ADeletedObjectComesBackWithTheCopy)
{
  const std::vector<Document> documents{ Version(1, 20, 12, 5),
                                         Deletion(1, 30),
                                         Version(2, 20, 12, 5) };
  cr_assert(Held(documents).m_body.empty());
  // The deletion reaches this node after the copy.
  Document deleted = Held({ documents[0], documents[1] });
  cr_assert(Held({ documents[2], deleted }).m_body.empty());
  // The operator creates the object anew.
  cr_assert(!Held({ documents[0], documents[1], Version(2, 31, 12, 31) })
               .m_body.empty());
}

Test(DocumentTable, TheHighestRevisionOutlivesItsDocument)
{
  DocumentTable fresh(10);
  fresh.Apply(Version(2, 24, 12));
  DocumentTable running(10);
  running.Apply(Version(1, 25, 18));
  fresh.Apply(*running.Find(kKey));
  running.Apply(Version(2, 24, 12));
  cr_assert(fresh.Digest() == running.Digest());
}

Test(DocumentTable, EveryPairOfDifferentVersionsHasOneWinner)
{
  SeededRandom random(1);
  for (int i = 0; i < 2'000; ++i) {
    const auto draw = [&] {
      Document document = Version(
        random.Below(3), 1 + random.Below(6), random.Below(4), random.Below(3));
      if (random.Below(4) == 0) {
        document.m_body.clear();
      }
      return document;
    };
    const Document left = draw();
    const Document right = draw();
    if (left.m_revision != right.m_revision) {
      cr_assert(Supersedes(left.Stamp(), right.Stamp()) !=
                Supersedes(right.Stamp(), left.Stamp()));
    }
  }
}

} // namespace tarragontray
