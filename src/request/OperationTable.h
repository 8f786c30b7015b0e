/// \file
/// What a guard remembers of non-idempotent operations, so that each runs at
/// most once here and a lost one can be asked about.
///
///     table.Begin(key, ticket, now);         // before the call may run
///     table.Finish(key, answer, now);        // it ran
///     table.Release(key, now);               // it was certainly not run
///     table.Withdraw(key, attempt, now);     // it must not run any more
///
/// Bounds: entries, bytes of kept answers, time. An entry is never dropped
/// before kMinRetention has passed since it ended; a full table refuses new
/// operations instead, because a forgotten operation could run twice.
///
/// Thread safety: one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "base/Ids.h"
#include "base/Units.h"
#include "request/AdmissionPolicy.h"
#include "request/Call.h"

namespace tarragontray {

/// Longer than any call may take, so that every question about a call finds
/// its operation.
inline constexpr Duration kMinRetention = std::chrono::seconds(60);

/// An operation id belongs to the account that calls: two accounts may use
/// the same text.
struct OperationKey
{
  ClientAccountId m_caller;
  OperationId m_operation;

  bool operator==(const OperationKey&) const = default;
};

struct OperationTableSettings
{
  std::size_t m_maxEntries = 65'536;
  ByteCount m_maxAnswerBytes{ std::uint64_t{ 16 } << 20U };
  /// Time for which ended operations are kept. At least kMinRetention.
  Duration m_retention = kOperationRetention;
};

/// What the bounds turned away.
struct OperationTableCounters
{
  /// Operations refused because the table was full.
  std::uint64_t m_refused = 0;
  /// Kept answers dropped before their time.
  std::uint64_t m_droppedAnswers = 0;
  /// Entries dropped before their time.
  std::uint64_t m_droppedEntries = 0;
};

/// One remembered operation.
struct OperationEntry
{
  enum class State : std::uint8_t
  {
    /// Waits or runs under m_ticket.
    Accepted,
    /// Ran; m_answer is kept or dropped.
    Ended,
    /// Attempts up to m_withdrawnAttempt must not run.
    Withdrawn,
  };

  State m_state = State::Accepted;
  Ticket m_ticket;
  /// Hash of the request, so that a reused id is told from a repeated one.
  std::uint64_t m_fingerprint = 0;
  std::uint8_t m_withdrawnAttempt = 0;
  std::optional<Answer> m_answer;
  /// Matches the entry in the order of ending; rises with each ending.
  std::uint64_t m_ending = 0;
};

class OperationTable
{
public:
  /// Precondition: m_retention is at least kMinRetention.
  explicit OperationTable(const OperationTableSettings& aSettings)
    : m_settings(aSettings)
  {
  }

  /// Null when the operation isn't known. Valid until the next change.
  const OperationEntry* Find(const OperationKey& aKey) const;

  /// Remembers an operation that is about to wait or run. False when the
  /// table is full. Precondition: the operation is unknown or withdrawn.
  bool Begin(const OperationKey& aKey,
             Ticket aTicket,
             std::uint64_t aFingerprint,
             MonotonicTime aNow);
  /// The operation ended and may have run. Precondition: Begin came before.
  void Finish(const OperationKey& aKey, Answer aAnswer, MonotonicTime aNow);
  /// The operation was certainly not run; earlier attempts stay withdrawn.
  void Release(const OperationKey& aKey, MonotonicTime aNow);
  /// Refuses attempts up to aAttempt from now on. False when the table is
  /// full. Precondition: the operation is unknown or withdrawn.
  bool Withdraw(const OperationKey& aKey,
                std::uint8_t aAttempt,
                MonotonicTime aNow);

  std::size_t Size() const { return m_entries.size(); }
  ByteCount AnswerBytes() const { return ByteCount(m_answerBytes); }
  const OperationTableCounters& Counters() const { return m_counters; }

private:
  struct KeyHash
  {
    std::size_t operator()(const OperationKey& aKey) const
    {
      const std::hash<std::string> hash;
      return hash(aKey.m_caller.Value()) * 31 + hash(aKey.m_operation.Value());
    }
  };
  /// An ended or withdrawn operation, in order of time.
  struct Ending
  {
    OperationKey m_key;
    MonotonicTime m_time{};
    std::uint64_t m_number = 0;
  };

  /// Makes room for one more entry. False when there is none.
  bool MakeRoom(MonotonicTime aNow);
  void DropExpired(MonotonicTime aNow);
  void RecordEnding(const OperationKey& aKey,
                    OperationEntry& aEntry,
                    MonotonicTime aNow);
  void DropOldestEntry();
  void DropAnswer(OperationEntry& aEntry);
  void EvictExcessAnswers();

  OperationTableSettings m_settings;
  std::unordered_map<OperationKey, OperationEntry, KeyHash> m_entries;
  std::deque<Ending> m_endings;
  /// The operations whose answers are kept, oldest first.
  std::deque<Ending> m_storedAnswers;
  std::uint64_t m_answerBytes = 0;
  std::uint64_t m_lastEnding = 0;
  OperationTableCounters m_counters;
};

} // namespace tarragontray
