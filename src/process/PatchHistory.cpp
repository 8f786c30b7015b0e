#include "process/PatchHistory.h"

#include <algorithm>

namespace tarragontray {

void
PatchHistory::Add(const DocumentPatch& aPatch)
{
  const ByteCount size(aPatch.m_bytes.size());
  if (size > m_settings.m_maxBytes) {
    return;
  }
  Patches& document = m_documents[aPatch.m_key];
  const bool isKnown =
    std::any_of(document.m_patches.begin(),
                document.m_patches.end(),
                [&](const DocumentPatch& aHeld) {
                  return aHeld.m_base == aPatch.m_base &&
                         aHeld.m_revision == aPatch.m_revision;
                });
  if (isKnown) {
    return;
  }
  document.m_patches.push_back(aPatch);
  document.m_bytes += size;
  while (document.m_patches.size() > m_settings.m_maxPatches ||
         document.m_bytes > m_settings.m_maxBytes) {
    document.m_bytes = ByteCount(document.m_bytes.Value() -
                                 document.m_patches.front().m_bytes.size());
    document.m_patches.pop_front();
  }
}

std::vector<DocumentPatch>
PatchHistory::Between(const ObjectKey& aKey, Revision aFrom, Revision aTo) const
{
  std::vector<DocumentPatch> path;
  const auto document = m_documents.find(aKey);
  if (document == m_documents.end()) {
    return path;
  }
  const std::deque<DocumentPatch>& patches = document->second.m_patches;
  Revision reached = aFrom;
  while (reached < aTo) {
    const auto next = std::find_if(
      patches.begin(), patches.end(), [&](const DocumentPatch& aPatch) {
        return aPatch.m_base == reached && aPatch.m_revision > reached &&
               aPatch.m_revision <= aTo;
      });
    if (next == patches.end()) {
      return {};
    }
    reached = next->m_revision;
    path.push_back(*next);
  }
  return path;
}

} // namespace tarragontray
