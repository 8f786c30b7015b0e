/// \file
/// The objects of the platform's stand-in, in memory.
///
///     StandinPlatformStore store;
///     StandinPlatformStore::WriteResult result = store.Write(write, now);
///
/// Thread safety: one thread.
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
  /// How a write ended: the new revision, or the conflict.
  struct WriteResult
  {
    bool m_isWritten = false;
    Revision m_revision;
    /// After a conflict: the object that is there, if any.
    std::optional<PlatformObject> m_current;
  };

  WriteResult Write(const PlatformWrite& aWrite, MonotonicTime aNow);
  /// The object as it was at aAsOf.
  std::optional<PlatformObject> Read(const ObjectKey& aKey,
                                     MonotonicTime aAsOf) const;
  /// All objects under a prefix as they were at aAsOf.
  PlatformListing List(const std::string& aPrefix, MonotonicTime aAsOf) const;
  /// The objects under a prefix that changed after aAfter, as they are now.
  PlatformListing Changes(const std::string& aPrefix, Revision aAfter) const;
  Revision LatestRevision() const { return m_revision; }

private:
  struct Stored
  {
    MonotonicTime m_time;
    PlatformObject m_object;
  };
  /// The versions of one key, oldest first; the oldest are forgotten.
  using Versions = std::deque<Stored>;

  static const Stored* Find(const Versions& aVersions, MonotonicTime aAsOf);

  std::map<std::string, Versions> m_objects;
  Revision m_revision;
};

} // namespace tarragontray
