/// \file
/// Bounded storage of documents: the newest revisions of each key.
///
///     DocumentRevisions table({ .m_maxKeys = 512,
///                           .m_maxRevisions = 4,
///                           .m_maxBytes = ByteCount{ 1 << 24 } });
///     if (table.Put(document) == PutResult::Stored) { ... }
///
/// Thread safety: one thread.
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

/// The bounds of a table.
struct DocumentLimits
{
  std::size_t m_maxKeys = 0;
  /// Revisions kept of each key, the newest ones; at least 1.
  std::size_t m_maxRevisions = 1;
  ByteCount m_maxBytes;
};

/// What became of an offered document.
enum class PutResult
{
  Stored,
  /// This revision is here already, or older than all that is wanted.
  Stale,
  /// A bound is reached.
  TurnedAway,
};

/// Documents by key and revision.
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
  /// Forgets the revisions of a key below aRevision; later ones of them are
  /// stale. The key stays.
  void DropBelow(const ObjectKey& aKey, Revision aRevision);
  /// Forgets the key whose newest revision is the lowest of those that
  /// aMayDrop allows; false when there is none.
  bool DropOldest(const std::function<bool(const ObjectKey&)>& aMayDrop);
  /// All documents, in the order of keys and revisions.
  std::vector<Document> All() const;
  std::vector<ObjectKey> Keys() const;

private:
  struct Entry
  {
    std::map<Revision, Document> m_revisions;
    /// Lower revisions are not wanted any more.
    Revision m_least;
  };

  void Remove(Entry& aEntry, std::map<Revision, Document>::iterator aPlace);

  DocumentLimits m_limits;
  std::map<ObjectKey, Entry> m_entries;
  ByteCount m_bytes;
};

} // namespace tarragontray
