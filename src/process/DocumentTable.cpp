#include "process/DocumentTable.h"

#include <algorithm>

namespace tarragontray {

DocumentTable::DocumentTable(std::size_t aMaxDocuments)
  : m_maxDocuments(aMaxDocuments)
{
}

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
  } else if (aDocument.m_revision > found->second.m_revision) {
    Toggle(found->second);
    found->second = aDocument;
  } else {
    return false;
  }
  Toggle(aDocument);
  m_highest = std::max(m_highest, aDocument.m_revision);
  return true;
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
  m_digest.Toggle(key, ItemHash(key, aDocument.m_revision.Value(), 0));
}

} // namespace tarragontray
