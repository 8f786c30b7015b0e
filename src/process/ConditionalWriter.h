/// \file
/// Writes one platform object conditionally (compare-and-set) and determines
/// whether the write took effect.
///
/// The answer can be lost after the write took effect. The writer then reads
/// the object back and compares its operation id. While the object still has
/// the expected revision the write is retried. Retrying is safe because at most
/// one of the writes that expect the same revision takes effect.
///
///     ConditionalWriter writer(platform, timer, random);
///     writer.Write({ key, body, revision, operation },
///                  [](const WriteReport& aReport) { ... });
///
/// Thread safety: not thread-safe; use it on the thread that runs the
/// platform's callbacks.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

#include "base/Random.h"
#include "base/Timer.h"
#include "connection/Platform.h"

namespace tarragontray {

/// The outcome of a conditional write.
enum class ConditionalWriteStatus
{
  /// The write took effect exactly once.
  Written,
  /// The object has another revision because another writer was first.
  LostRace,
  /// The write did not take effect.
  Failed,
  /// The write may have taken effect; the platform could not be queried.
  Unknown,
};

/// The outcome of a write with its details.
struct WriteReport
{
  ConditionalWriteStatus m_status = ConditionalWriteStatus::Failed;
  /// For Written: the object's new revision.
  Revision m_revision;
  /// For LostRace: the other writer's object, if it could be read.
  std::optional<PlatformObject> m_current;
  /// For LostRace: whether an earlier answer was lost, so that this write may
  /// have taken effect and been replaced since.
  bool m_mayHaveBeenReplaced = false;
  /// For Failed and Unknown: the last error.
  std::optional<Error> m_error;
};

struct WriterSettings
{
  /// Maximum number of platform calls for one write, including reads.
  std::size_t m_maxCalls = 10;
  /// The delay before a retry is random (full jitter), up to a limit that
  /// starts at m_firstDelay and doubles up to m_longestDelay.
  Duration m_firstDelay = std::chrono::milliseconds(100);
  Duration m_longestDelay = std::chrono::seconds(2);
};

/// See the file comment.
class ConditionalWriter
{
public:
  using Callback = std::function<void(const WriteReport&)>;

  /// Precondition: the arguments and the writer outlive all writes.
  ConditionalWriter(Platform& aPlatform,
                    Timer& aTimer,
                    Random& aRandom,
                    WriterSettings aSettings = {})
    : m_platform(aPlatform)
    , m_timer(aTimer)
    , m_random(aRandom)
    , m_settings(aSettings)
  {
  }

  /// Starts a write and calls aDone once with its outcome. Precondition: aWrite
  /// has an expected revision, and no other write uses its operation id.
  void Write(PlatformWrite aWrite, Callback aDone);

private:
  class Operation;

  Platform& m_platform;
  Timer& m_timer;
  Random& m_random;
  WriterSettings m_settings;
};

} // namespace tarragontray
