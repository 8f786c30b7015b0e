/// \file
/// Decides what the callers of one listener can make the process keep: bytes of
/// requests that are being read, that wait or run, of answers that wait to be
/// read, and connections.
///
///     CallerBudget budget(settings);
///     CallerBudget::Opening opening = budget.Open(session, now);
///     budget.Report(session, holding, now);
///     while (auto excess = budget.NextExcess(now)) { ... close *excess ... }
///
/// Over the budget, the session to close is the one with the most bytes times
/// the time since its last progress. So a caller that sends or reads steadily
/// is closed after those that have stopped, and one that holds little after
/// those that hold much. A session whose requests run at an upstream waits for
/// this system, which does not count against it.
///
/// The memory of a process is divided into fixed shares of its listeners, so
/// that no listener can take the memory of another, and none needs to know what
/// the others hold.
///
/// Thread safety: one thread, that of the listener. CallerLimitCounters may be
/// read from any thread.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "base/StrongType.h"
#include "base/Units.h"

namespace tarragontray {

/// A connection of a listener, numbered from 1 in order of acceptance.
using CallerSession = Amount<struct CallerSessionTag>;

/// The share of one listener.
struct CallerBudgetSettings
{
  ByteCount m_memory{ 48U << 20U };
  std::size_t m_maxSessions = 4096;
};

/// The shares of each front listener and each admin listener.
struct CallerShares
{
  CallerBudgetSettings m_front;
  CallerBudgetSettings m_admin;
};

/// Divides what a process may use for callers. Of the memory, the front
/// listeners get three quarters and the admin listeners one; of the descriptors
/// a half and a sixteenth each, so that peers, the store and the upstream keep
/// the rest. \param aConnections connections for all front listeners; 0: as
/// many as the descriptors allow. Precondition: aFronts, aAdmins are not 0.
CallerShares
DivideAmongListeners(ByteCount aMemory,
                     std::size_t aDescriptors,
                     std::size_t aConnections,
                     std::size_t aFronts,
                     std::size_t aAdmins);

/// What one session holds.
struct CallerHolding
{
  ByteCount m_bytes;
  /// When the caller last sent or read a byte.
  MonotonicTime m_lastProgress;
  /// The session waits for this system and not for its caller.
  bool m_isServed = false;
};

/// What all listeners of a process have limited since its start, and what they
/// hold. Thread safety: any thread.
struct CallerLimitCounters
{
  std::atomic<std::uint64_t> m_sessions = 0;
  std::atomic<std::uint64_t> m_heldBytes = 0;
  /// Sessions closed over the budget of memory.
  std::atomic<std::uint64_t> m_closedForMemory = 0;
  /// Requests refused (503) over the budget of memory.
  std::atomic<std::uint64_t> m_refusedForMemory = 0;
  /// Requests refused (413, 431) for their size or number of header fields.
  std::atomic<std::uint64_t> m_oversized = 0;
  /// Sessions closed because their caller sent or read too slowly.
  std::atomic<std::uint64_t> m_slow = 0;
  /// Connections closed, or not accepted, because too many were open.
  std::atomic<std::uint64_t> m_surplusSessions = 0;
};

/// See the file comment.
class CallerBudget
{
public:
  /// Whether a connection is accepted, and which one to close before.
  struct Opening
  {
    bool m_isAccepted = true;
    std::optional<CallerSession> m_close;
  };

  explicit CallerBudget(const CallerBudgetSettings& aSettings);

  /// Adds a session that holds nothing, if it is accepted. When as many as
  /// allowed are open, the one that has made no progress for longest makes
  /// room, unless all have made progress within the last second.
  Opening Open(CallerSession aSession, MonotonicTime aNow);
  void Close(CallerSession aSession);
  /// Sets what a session holds. Ignored for a session that is not open.
  void Report(CallerSession aSession, const CallerHolding& aHolding);
  /// The session is being closed and will not be returned by NextExcess again.
  void SetClosing(CallerSession aSession);

  /// Returns a session to close because the listener holds more than its
  /// memory; call until nothing is returned.
  std::optional<CallerSession> NextExcess(MonotonicTime aNow) const;
  /// Whether a request may take aBytes more. Bodies leave a quarter of the
  /// memory to requests without a body.
  bool Fits(ByteCount aBytes, bool aHasBody) const;
  /// Returns a session to close to make room for the request of another one:
  /// one that has made no progress for a second.
  std::optional<CallerSession> NextStalled(CallerSession aFor,
                                           MonotonicTime aNow) const;

  ByteCount Held() const { return m_held; }
  std::size_t Sessions() const { return m_sessions.size(); }

private:
  struct Entry
  {
    CallerHolding m_holding;
    bool m_isClosing = false;
  };

  /// How urgently a session is to be closed, in byte milliseconds.
  static double Weight(const CallerHolding& aHolding, MonotonicTime aNow);

  CallerBudgetSettings m_settings;
  std::unordered_map<CallerSession, Entry> m_sessions;
  ByteCount m_held;
};

} // namespace tarragontray
