/// \file
/// The latest patches of each document, so that a peer that holds an earlier
/// version can catch up without the whole document.
///
///     history.Add(patch);
///     // Empty when the history does not lead from one version to the other.
///     for (const DocumentPatch& patch : history.Between(key, from, to)) { ...
///     }
///
/// Thread safety: one thread for each instance.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"
#include "version/DocumentPatch.h"

namespace tarragontray {

struct PatchHistorySettings
{
  /// The limits for each document: patches, and bytes of all of them together.
  std::size_t m_maxPatches = 16;
  ByteCount m_maxBytes{ 65'536 };
};

/// See the file comment.
class PatchHistory
{
public:
  explicit PatchHistory(const PatchHistorySettings& aSettings)
    : m_settings(aSettings)
  {
  }

  /// Adds a patch and drops the oldest ones beyond the limits. A patch that is
  /// larger than the limit itself is not kept.
  void Add(const DocumentPatch& aPatch);
  /// The patches that lead from one version of a document to another, in the
  /// order in which they apply; empty when some are missing.
  std::vector<DocumentPatch> Between(const ObjectKey& aKey,
                                     Revision aFrom,
                                     Revision aTo) const;

private:
  struct Patches
  {
    std::deque<DocumentPatch> m_patches;
    ByteCount m_bytes{ 0 };
  };

  PatchHistorySettings m_settings;
  std::map<ObjectKey, Patches> m_documents;
};

} // namespace tarragontray
