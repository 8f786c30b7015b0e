/// \file
/// An in-memory platform with revisions, listings, outages and stale reads.
///
/// Thread safety: not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"
#include "version/Document.h"

namespace tarragontray::testing {

/// Documents and the revision up to which they are complete.
struct FakeListing
{
  std::vector<Document> m_documents;
  Revision m_revision;
};

/// Stores every version of a test's documents.
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
  /// The newest version of each document written after aAfter, without the last
  /// m_staleBy writes.
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

  Revision Latest() const { return m_revision; }

  bool m_isDown = false;
  /// Waiting watches stay open and don't hear of writes.
  bool m_areWatchesSilent = false;
  /// Number of latest writes that After() does not return yet, as on a stale
  /// replica.
  std::size_t m_staleBy = 0;
  /// Number of calls; a waiting watch counts as one.
  std::uint64_t m_calls = 0;

private:
  Revision m_revision;
  std::vector<Document> m_history;
};

} // namespace tarragontray::testing
