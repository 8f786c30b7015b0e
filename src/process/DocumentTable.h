/// \file
/// The highest revision seen of each document.
///
///     bool isNews = table.Apply(document);
///
/// The revision of a key never falls, whatever order documents come in.
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

/// Documents by key, bounded in number.
class DocumentTable
{
public:
  explicit DocumentTable(std::size_t aMaxDocuments);

  /// True when the document is new or of a higher revision than the one held.
  /// A full table refuses unknown keys.
  bool Apply(const Document& aDocument);
  const Document* Find(const ObjectKey& aKey) const;
  const std::map<ObjectKey, Document>& Documents() const { return m_documents; }
  DocumentDigest Digest() const { return { m_digest.Whole(), m_highest }; }
  const BucketHashes& Buckets() const { return m_digest.Buckets(); }
  /// The documents in buckets whose hashes differ, lowest revision first, up
  /// to aMaxBytes of bodies, at least one. The rest follows on a later pull.
  std::vector<Document> Differing(const BucketHashes& aTheirs,
                                  ByteCount aMaxBytes) const;
  std::uint64_t Refused() const { return m_refused; }

private:
  void Toggle(const Document& aDocument);

  std::size_t m_maxDocuments;
  std::map<ObjectKey, Document> m_documents;
  BucketDigest m_digest;
  Revision m_highest;
  std::uint64_t m_refused = 0;
};

} // namespace tarragontray
