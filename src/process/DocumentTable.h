/// \file
/// Keeps the newest known version of each document.
///
///     bool hasChanged = table.Apply(document);
///
/// A version is only replaced by one that supersedes it (version/Document.h),
/// in whatever order documents arrive.
///
/// Thread safety: one thread for each instance.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"
#include "process/BucketDigest.h"
#include "process/Datagram.h"
#include "version/Document.h"

namespace tarragontray {

/// Stores documents by key, up to a fixed number of keys.
class DocumentTable
{
public:
  explicit DocumentTable(std::size_t aMaxDocuments);

  /// Returns true when the document is new or changes the stored one. A full
  /// table rejects new keys.
  bool Apply(const Document& aDocument);
  /// Null for an unknown key. Valid until the next Apply().
  const Document* Find(const ObjectKey& aKey) const;
  const std::map<ObjectKey, Document>& Documents() const { return m_documents; }
  DocumentDigest Digest() const { return { m_digest.Total(), m_highest }; }
  const BucketHashes& Buckets() const { return m_digest.Buckets(); }
  /// The documents in the buckets whose hashes differ from aTheirs, lowest
  /// revision first: as many as fit into aMaxBytes of keys and bodies, but at
  /// least one. Later pulls return the remaining documents.
  std::vector<Document> Differing(const BucketHashes& aTheirs,
                                  ByteCount aMaxBytes) const;
  /// How many documents were rejected because the table was full.
  std::uint64_t Refused() const { return m_refused; }

private:
  void Toggle(const Document& aDocument);
  /// Keeps m_highest after a document's revision has changed.
  void UpdateHighest(Revision aFormer, Revision aCurrent);

  std::size_t m_maxDocuments;
  std::map<ObjectKey, Document> m_documents;
  BucketDigest m_digest;
  Revision m_highest;
  std::uint64_t m_refused = 0;
};

} // namespace tarragontray
