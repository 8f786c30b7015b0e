#include "process/DocumentTable.h"

#include <algorithm>

namespace tarragontray {

DocumentTable::DocumentTable(std::size_t aMaxDocuments)
  : m_maxDocuments(aMaxDocuments)
{
}

namespace {

/// The lower one of two revisions, of which 0 is unknown.
Revision
EarlierKnown(Revision aLeft, Revision aRight)
{
  const auto [lower, higher] = std::minmax(aLeft, aRight);
  return lower > Revision(0) ? lower : higher;
}

/// The stamp of the version that supersedes the other, joined with what either
/// tells of the object's creation.
DocumentStamp
Join(const DocumentStamp& aHeld, const DocumentStamp& aReceived)
{
  const bool isNewer = Supersedes(aReceived, aHeld);
  DocumentStamp joined = isNewer ? aReceived : aHeld;
  const DocumentStamp& other = isNewer ? aHeld : aReceived;
  const bool isSameEra = EraOf(joined.m_revision) == EraOf(other.m_revision);
  if (joined.m_isDeleted && isNewer && isSameEra) {
    joined.m_version = std::max(joined.m_version, other.m_version);
    joined.m_created = other.m_created;
  }
  const bool isWrittenAgain = !isSameEra &&
                              joined.m_version == other.m_version &&
                              joined.m_version > WriterVersion(0);
  if (isWrittenAgain && !joined.m_isDeleted && !other.m_isDeleted) {
    joined.m_created = std::min(joined.m_created, other.m_created);
  }
  if (joined.m_revision == other.m_revision) {
    joined.m_version = std::max(joined.m_version, other.m_version);
    joined.m_created = EarlierKnown(joined.m_created, other.m_created);
  }
  return joined;
}

} // namespace

bool
DocumentTable::Apply(const Document& aDocument)
{
  const auto found = m_documents.find(aDocument.m_key);
  if (found == m_documents.end()) {
    if (m_documents.size() >= m_maxDocuments) {
      ++m_refused;
      return false;
    }
    m_documents.emplace(aDocument.m_key, aDocument);
    Toggle(aDocument);
    m_highest = std::max(m_highest, aDocument.m_revision);
    return true;
  }
  Document& held = found->second;
  const DocumentStamp former = held.Stamp();
  const DocumentStamp joined = Join(former, aDocument.Stamp());
  const bool isNewer = joined.m_revision != former.m_revision;
  if (!isNewer && joined.m_version == former.m_version &&
      joined.m_created == former.m_created) {
    return false;
  }
  Toggle(held);
  if (isNewer) {
    held = aDocument;
  }
  held.m_version = joined.m_version;
  held.m_created = joined.m_created;
  Toggle(held);
  UpdateHighest(former.m_revision, held.m_revision);
  return true;
}

void
DocumentTable::UpdateHighest(Revision aFormer, Revision aCurrent)
{
  if (aCurrent >= m_highest || aFormer < m_highest) {
    m_highest = std::max(m_highest, aCurrent);
    return;
  }
  // The document that had the highest revision went back to an earlier era.
  m_highest = Revision(0);
  for (const auto& [key, document] : m_documents) {
    m_highest = std::max(m_highest, document.m_revision);
  }
}

const Document*
DocumentTable::Find(const ObjectKey& aKey) const
{
  const auto found = m_documents.find(aKey);
  return found == m_documents.end() ? nullptr : &found->second;
}

std::vector<Document>
DocumentTable::Differing(const BucketHashes& aTheirs, ByteCount aMaxBytes) const
{
  std::vector<const Document*> differing;
  for (const auto& [key, document] : m_documents) {
    const std::size_t bucket = BucketOf(key.Value());
    if (Buckets()[bucket] != aTheirs[bucket]) {
      differing.push_back(&document);
    }
  }
  std::sort(differing.begin(),
            differing.end(),
            [](const Document* aLeft, const Document* aRight) {
              return aLeft->m_revision < aRight->m_revision;
            });
  std::vector<Document> documents;
  std::uint64_t bytes = 0;
  for (const Document* document : differing) {
    bytes += document->m_key.Value().size() + document->m_body.size();
    if (bytes > aMaxBytes.Value() && !documents.empty()) {
      break;
    }
    documents.push_back(*document);
  }
  return documents;
}

void
DocumentTable::Toggle(const Document& aDocument)
{
  const std::string& key = aDocument.m_key.Value();
  m_digest.Toggle(
    key,
    ItemHash(key, aDocument.m_revision.Value(), aDocument.m_created.Value()));
}

} // namespace tarragontray
