/// \file
/// In-memory object store of standin-platform.
///
///     StandinPlatformStore store;
///     StandinPlatformStore::WriteResult result = store.Write(write, now);
///
/// Thread safety: not thread-safe.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "base/Units.h"
#include "connection/Platform.h"

namespace tarragontray {

/// See the file comment.
class StandinPlatformStore
{
public:
  /// Outcome of a write.
  struct WriteResult
  {
    bool m_isWritten = false;
    /// The new revision, or the object's current one after a conflict.
    Revision m_revision;
    /// After a conflict: the current object, if it exists.
    std::optional<PlatformObject> m_current;
  };

  /// Writes the object, unless its current revision differs from the expected
  /// one, if given (a missing object has revision 0).
  WriteResult Write(const PlatformWrite& aWrite, MonotonicTime aNow);
  /// The object as of aAsOf, or nullopt when no version of that time is kept.
  std::optional<PlatformObject> Read(const ObjectKey& aKey,
                                     MonotonicTime aAsOf) const;
  /// All objects whose keys start with aPrefix, as of aAsOf.
  PlatformListing List(const std::string& aPrefix, MonotonicTime aAsOf) const;
  /// The latest version of each object whose key starts with aPrefix and which
  /// changed after revision aAfter.
  PlatformListing Changes(const std::string& aPrefix, Revision aAfter) const;
  Revision LatestRevision() const { return m_revision; }
  /// Returns to the state as of aAsOf; later writes get the revisions after it
  /// again.
  void Restore(MonotonicTime aAsOf);

private:
  struct Stored
  {
    MonotonicTime m_time;
    PlatformObject m_object;
  };
  /// The most recent versions of one key, oldest first.
  using Versions = std::deque<Stored>;

  static const Stored* Find(const Versions& aVersions, MonotonicTime aAsOf);

  std::map<std::string, Versions> m_objects;
  Revision m_revision;
};

} // namespace tarragontray
