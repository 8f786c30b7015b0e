/// \file
/// A conditional write of one object that is sure of its outcome.
///
/// An answer can be lost after the write took effect. The writer then reads
/// the object back and compares the operation's id. While the object has the
/// expected revision the write is repeated, which is safe: of writes that
/// expect one revision, one at the most takes effect.
///
///     ConditionalWriter writer(platform, timer, random);
///     writer.Write({ key, body, revision, operation },
///                  [](const WriteReport& aReport) { ... });
///
/// Thread safety: one thread, that of the platform's callbacks.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

#include "base/Random.h"
#include "base/Timer.h"
#include "connection/Platform.h"

namespace tarragontray {

/// How a conditional write ended.
enum class ConditionalWriteStatus
{
  /// It took effect, once.
  Written,
  /// Another writer was first: the object has another revision.
  LostRace,
  /// It did not take effect.
  Failed,
  /// The platform could not be asked again: it may have taken effect.
  Unknown,
};

/// The end of a write.
struct WriteReport
{
  ConditionalWriteStatus m_end = ConditionalWriteStatus::Failed;
  /// For Written: the object's revision.
  Revision m_revision;
  /// For LostRace: the other writer's object, when it could be read.
  std::optional<PlatformObject> m_current;
  /// For LostRace: an answer was lost before, so that this write may have
  /// taken effect and been replaced since.
  bool m_mayHaveBeenReplaced = false;
  /// For Failed and Unknown: the last error.
  std::optional<Error> m_error;
};

struct WriterSettings
{
  /// Calls to the platform for one write, reads included.
  std::size_t m_maxCalls = 10;
  /// The wait before a repeated call is random, up to a limit that starts at
  /// m_firstDelay and doubles (full jitter).
  Duration m_firstDelay = std::chrono::milliseconds(100);
  Duration m_longestDelay = std::chrono::seconds(2);
};

/// See the file comment.
class ConditionalWriter
{
public:
  using Callback = std::function<void(const WriteReport&)>;

  /// Precondition: the arguments outlive the writes.
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

  /// Starts a write; aDone runs once. Precondition: aWrite has an expected
  /// revision, and its operation id is used by no other write.
  void Write(PlatformWrite aWrite, Callback aDone);

private:
  class Operation;

  Platform& m_platform;
  Timer& m_timer;
  Random& m_random;
  WriterSettings m_settings;
};

} // namespace tarragontray
