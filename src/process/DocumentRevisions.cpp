#include "process/DocumentRevisions.h"

#include <algorithm>
#include <iterator>

namespace tarragontray {

namespace {

ByteCount
SizeOf(const Document& aDocument)
{
  return ByteCount(aDocument.m_key.Value().size() + aDocument.m_body.size());
}

} // namespace

PutResult
DocumentRevisions::Put(const Document& aDocument)
{
  const auto found = m_entries.find(aDocument.m_key);
  const bool isNew = found == m_entries.end();
  if (!isNew) {
    Entry& entry = found->second;
    RemoveSuperseded(entry, aDocument);
    const bool isFull = entry.m_revisions.size() >= m_limits.m_maxRevisions;
    if (aDocument.m_revision < entry.m_minRevision ||
        entry.m_revisions.contains(aDocument.m_revision) ||
        (isFull && aDocument.m_revision < entry.m_revisions.begin()->first)) {
      return PutResult::Stale;
    }
  }
  if ((isNew && m_entries.size() >= m_limits.m_maxKeys) ||
      m_bytes + SizeOf(aDocument) > m_limits.m_maxBytes) {
    return PutResult::LimitExceeded;
  }
  Entry& entry = m_entries[aDocument.m_key];
  entry.m_revisions.emplace(aDocument.m_revision, aDocument);
  m_bytes += SizeOf(aDocument);
  if (entry.m_revisions.size() > m_limits.m_maxRevisions) {
    Remove(entry, entry.m_revisions.begin());
  }
  return PutResult::Stored;
}

const Document*
DocumentRevisions::Newest(const ObjectKey& aKey) const
{
  const auto found = m_entries.find(aKey);
  if (found == m_entries.end() || found->second.m_revisions.empty()) {
    return nullptr;
  }
  return &found->second.m_revisions.rbegin()->second;
}

std::vector<const Document*>
DocumentRevisions::Revisions(const ObjectKey& aKey) const
{
  std::vector<const Document*> result;
  const auto found = m_entries.find(aKey);
  if (found != m_entries.end()) {
    for (const auto& [revision, document] : found->second.m_revisions) {
      result.push_back(&document);
    }
  }
  std::reverse(result.begin(), result.end());
  return result;
}

void
DocumentRevisions::DropBelow(const ObjectKey& aKey, Revision aRevision)
{
  const auto found = m_entries.find(aKey);
  if (found == m_entries.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.m_minRevision = std::max(entry.m_minRevision, aRevision);
  while (!entry.m_revisions.empty() &&
         entry.m_revisions.begin()->first < aRevision) {
    Remove(entry, entry.m_revisions.begin());
  }
}

bool
DocumentRevisions::DropOldest(
  const std::function<bool(const ObjectKey&)>& aMayDrop)
{
  auto oldest = m_entries.end();
  for (auto place = m_entries.begin(); place != m_entries.end(); ++place) {
    if (place->second.m_revisions.empty() || !aMayDrop(place->first)) {
      continue;
    }
    if (oldest == m_entries.end() ||
        place->second.m_revisions.rbegin()->first <
          oldest->second.m_revisions.rbegin()->first) {
      oldest = place;
    }
  }
  if (oldest == m_entries.end()) {
    return false;
  }
  while (!oldest->second.m_revisions.empty()) {
    Remove(oldest->second, oldest->second.m_revisions.begin());
  }
  m_entries.erase(oldest);
  return true;
}

std::vector<Document>
DocumentRevisions::All() const
{
  std::vector<Document> result;
  for (const auto& [key, entry] : m_entries) {
    for (const auto& [revision, document] : entry.m_revisions) {
      result.push_back(document);
    }
  }
  return result;
}

std::vector<ObjectKey>
DocumentRevisions::Keys() const
{
  std::vector<ObjectKey> result;
  result.reserve(m_entries.size());
  for (const auto& [key, entry] : m_entries) {
    result.push_back(key);
  }
  return result;
}

void
DocumentRevisions::RemoveSuperseded(Entry& aEntry, const Document& aDocument)
{
  auto place = aEntry.m_revisions.upper_bound(aDocument.m_revision);
  while (place != aEntry.m_revisions.end()) {
    const auto next = std::next(place);
    if (Supersedes(aDocument.Stamp(), place->second.Stamp())) {
      aEntry.m_minRevision =
        std::min(aEntry.m_minRevision, aDocument.m_revision);
      Remove(aEntry, place);
    }
    place = next;
  }
}

void
DocumentRevisions::Remove(Entry& aEntry,
                          std::map<Revision, Document>::iterator aPlace)
{
  m_bytes -= SizeOf(aPlace->second);
  aEntry.m_revisions.erase(aPlace);
}

} // namespace tarragontray
