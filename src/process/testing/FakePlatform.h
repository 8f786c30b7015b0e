/// \file
/// The platform in memory: revisions, a list, watches, outages and stale reads.
///
/// Thread safety: one thread.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"
#include "version/Document.h"

namespace tarragontray::testing {

/// Documents, and the revision up to which they are complete.
struct FakeListing
{
  std::vector<Document> m_documents;
  Revision m_revision;
};

/// Holds the documents of a test.
class FakePlatform
{
public:
  Document Write(const std::string& aKey, const std::string& aBody)
  {
    m_revision += Revision(1);
    Document document{ ObjectKey(aKey), m_revision, aBody };
    m_history.push_back(document);
    return document;
  }
  /// What changed after a revision; a stale replica lacks the last writes.
  FakeListing After(Revision aAfter) const
  {
    const std::size_t known =
      m_history.size() - std::min(m_staleBy, m_history.size());
    std::map<ObjectKey, Document> latest;
    FakeListing listing;
    for (std::size_t i = 0; i < known; ++i) {
      listing.m_revision = m_history[i].m_revision;
      if (m_history[i].m_revision > aAfter) {
        latest[m_history[i].m_key] = m_history[i];
      }
    }
    for (const auto& [key, document] : latest) {
      listing.m_documents.push_back(document);
    }
    return listing;
  }

  bool m_isDown = false;
  /// Writes that reads do not show yet.
  std::size_t m_staleBy = 0;
  /// Calls, a waiting watch counted as one.
  std::uint64_t m_calls = 0;

private:
  Revision m_revision;
  std::vector<Document> m_history;
};

} // namespace tarragontray::testing
