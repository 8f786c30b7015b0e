/// \file
/// Interface of the platform's object API: revisions, conditional writes and
/// watches.
///
/// Each call ends with exactly one callback, on the thread of the caller's
/// event loop, unless DropWatches cancels it. A lost answer is an Error with
/// code Timeout or Closed: the write may have taken effect.
///
/// Revisions contain the era of the platform (base/PlatformEra.h). A condition
/// on a revision of another era is a Conflict, and a watch after one fails with
/// HistoryGone: the platform may have given out its number a second time.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/Result.h"
#include "base/Units.h"
#include "version/Document.h"

namespace tarragontray {

/// A write of one object, with an optional condition.
struct PlatformWrite
{
  ObjectKey m_key;
  std::string m_body;
  /// The revision that the object must have; 0 when it must not exist, not set
  /// for an unconditional write.
  std::optional<Revision> m_expected;
  /// Stored with the object, so that the writer can recognise its own write
  /// after a lost answer.
  OperationId m_operation;
  /// The writer's number of this version; see version/Document.h.
  WriterVersion m_version{};
};

/// One object, with the operation that wrote it.
struct PlatformObject
{
  Document m_document;
  OperationId m_operation;
};

/// Objects under a prefix, complete up to m_revision.
struct PlatformListing
{
  std::vector<PlatformObject> m_objects;
  Revision m_revision;
  /// Whether an object is missing because it could not be read.
  bool m_isPartial = false;
};

/// See the file comment.
class Platform
{
public:
  template<typename T>
  using Callback = std::function<void(Result<T>)>;

  virtual ~Platform() = default;

  /// Reads one object. Errors: NotFound, Unavailable, Timeout, Closed.
  virtual void Read(ObjectKey aKey, Callback<PlatformObject> aDone) = 0;
  /// Lists objects under a prefix.
  virtual void List(std::string aPrefix, Callback<PlatformListing> aDone) = 0;
  /// Writes one object and returns its new revision. Errors: Conflict,
  /// TooLarge, Unavailable, Timeout, Closed.
  virtual void Write(PlatformWrite aWrite, Callback<Revision> aDone) = 0;
  /// Waits at most aMaxWait for changes after revision aAfter. Returns the
  /// changed objects, or none after that time; the next watch starts at the
  /// listing's m_revision. Errors: HistoryGone, Unavailable, Timeout, Closed.
  virtual void Watch(std::string aPrefix,
                     Revision aAfter,
                     Duration aMaxWait,
                     Callback<PlatformListing> aDone) = 0;
  /// Reads the revision of the platform's newest change of any object. Costs
  /// less than a list with objects. Errors: as List.
  virtual void ReadRevision(Callback<Revision> aDone) = 0;
  /// Cancels the waiting watches without calling their callbacks, and closes
  /// the idle connections: the fault that stopped the data of a watch may
  /// affect them too.
  virtual void DropWatches() = 0;
  /// Received bytes of answers to watches, including the arrived part of an
  /// incomplete answer. May decrease when watches are dropped.
  virtual ByteCount WatchedBytes() const = 0;
};

} // namespace tarragontray
