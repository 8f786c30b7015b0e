/// \file
/// Bounded storage for the newest revisions of documents.
///
///     DocumentRevisions table({ .m_maxKeys = 512,
///                               .m_maxRevisions = 4,
///                               .m_maxBytes = ByteCount{ 1 << 24 } });
///     if (table.Put(document) == PutResult::Stored) { ... }
///
/// Thread safety: one thread for each instance.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "base/Units.h"
#include "version/Document.h"

namespace tarragontray {

struct DocumentLimits
{
  std::size_t m_maxKeys = 0;
  /// How many of the newest revisions of each key are kept; at least 1.
  std::size_t m_maxRevisions = 1;
  /// Limit on the keys and bodies of all stored revisions.
  ByteCount m_maxBytes;
};

/// The outcome of DocumentRevisions::Put().
enum class PutResult
{
  Stored,
  /// The revision is already stored, or older than the revisions to keep.
  Stale,
  /// Storing the document would exceed a limit.
  LimitExceeded,
};

/// Stores documents by key and revision.
class DocumentRevisions
{
public:
  /// Precondition: aLimits.m_maxRevisions > 0.
  explicit DocumentRevisions(DocumentLimits aLimits)
    : m_limits(aLimits)
  {
  }

  PutResult Put(const Document& aDocument);
  /// The newest revision of a key, or null. Valid until the next change.
  const Document* Newest(const ObjectKey& aKey) const;
  /// The revisions of a key, newest first. Valid until the next change.
  std::vector<const Document*> Revisions(const ObjectKey& aKey) const;
  /// Removes the revisions of a key below aRevision; a later Put() of such a
  /// revision returns Stale. The key itself stays.
  void DropBelow(const ObjectKey& aKey, Revision aRevision);
  /// Removes, of the keys that aMayDrop accepts, the one whose newest revision
  /// is the lowest. Returns false when there is none.
  bool DropOldest(const std::function<bool(const ObjectKey&)>& aMayDrop);
  /// All documents, ordered by key and revision.
  std::vector<Document> All() const;
  std::vector<ObjectKey> Keys() const;

private:
  struct Entry
  {
    std::map<Revision, Document> m_revisions;
    /// Revisions below this one are stale.
    Revision m_minRevision;
  };

  /// Removes the versions with higher revisions that the document supersedes:
  /// copies of older states in a later era of the platform.
  void RemoveSuperseded(Entry& aEntry, const Document& aDocument);
  void Remove(Entry& aEntry, std::map<Revision, Document>::iterator aPlace);

  DocumentLimits m_limits;
  std::map<ObjectKey, Entry> m_entries;
  ByteCount m_bytes;
};

} // namespace tarragontray
