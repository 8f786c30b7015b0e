/// \file
/// An object of the platform's object store, as nodes store and distribute it.
///
/// Keys: "templates/NAME/VERSION", "configurations/ACCOUNT",
/// "moves/ACCOUNT/SERVICE/PLAN" (outcomes), "evacuations/DATA-CENTRE",
/// "ledger/VM".
///
/// Revisions order the versions of one key within an era of the platform. A
/// platform that was restored from a copy shows older versions under a later
/// era; the writer's own version number tells them from new ones:
///
///     if (Supersedes(received.Stamp(), held.Stamp())) { held = received; }
///
/// Thread safety: values and pure functions.
#pragma once

#include <string>

#include "base/Ids.h"
#include "base/PlatformEra.h"

namespace tarragontray {

/// The number that an object's writer gives its versions, in rising order. 0:
/// the writer gives none.
using WriterVersion = Amount<struct WriterVersionTag>;

/// What orders the versions of one document.
struct DocumentStamp
{
  Revision m_revision;
  WriterVersion m_version;
  /// The revision of the object's creation; 0 when the platform does not tell.
  Revision m_created;
  bool m_isDeleted = false;
};

/// Whether a version replaces another one of the same document. Of two
/// different versions exactly one supersedes the other. Versions of one era are
/// ordered by revision. Of two eras, the later one shows a copy of an earlier
/// state when its writer's version is lower, or when it shows the very object
/// whose deletion is known.
constexpr bool
Supersedes(const DocumentStamp& aLeft, const DocumentStamp& aRight)
{
  if (EraOf(aLeft.m_revision) == EraOf(aRight.m_revision)) {
    return aLeft.m_revision > aRight.m_revision;
  }
  const bool isLeftLater = aLeft.m_revision > aRight.m_revision;
  const DocumentStamp& later = isLeftLater ? aLeft : aRight;
  const DocumentStamp& earlier = isLeftLater ? aRight : aLeft;
  const bool isOlderVersion =
    later.m_version < earlier.m_version && later.m_version > WriterVersion(0) &&
    NumberOf(later.m_revision) <= NumberOf(earlier.m_revision);
  const bool isDeletedObject =
    earlier.m_isDeleted && !later.m_isDeleted &&
    later.m_version <= earlier.m_version &&
    NumberOf(later.m_created) == NumberOf(earlier.m_created);
  const bool isCopy = isOlderVersion || isDeletedObject;
  return isLeftLater != isCopy;
}

/// An object's key, revision and bytes (JSON text).
struct Document
{
  ObjectKey m_key;
  Revision m_revision;
  /// Empty when the object was deleted.
  std::string m_body;
  WriterVersion m_version{};
  /// See DocumentStamp. Of a version that its writer wrote again after a
  /// restore, the first creation.
  Revision m_created{};

  DocumentStamp Stamp() const
  {
    return { m_revision, m_version, m_created, m_body.empty() };
  }
  bool operator==(const Document&) const = default;
};

} // namespace tarragontray
