/// \file
/// A guard's record of non-idempotent operations, so that each runs at most
/// once here and entry nodes can query operations whose answers were lost.
///
///     table.Begin(key, ticket, now);         // before the call may run
///     table.Finish(key, answer, now);        // it may have run
///     table.Release(key, now);               // it was certainly not run
///     table.Withdraw(key, attempt, now);     // it must no longer run
///
/// The table is bounded in entries, in bytes of stored answers and in retention
/// time. An entry is never evicted before kMinRetention has passed since it
/// ended; instead, a full table refuses new operations, because an evicted
/// operation could run twice.
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

/// Longer than any call may take, so that every query about a call finds its
/// operation.
inline constexpr Duration kMinRetention = std::chrono::seconds(60);

/// Operation ids are scoped to the calling account: two accounts may use the
/// same id.
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
  /// How long ended operations are kept. At least kMinRetention.
  Duration m_retention = kOperationRetention;
};

/// Counts of refusals and evictions due to the bounds.
struct OperationTableCounters
{
  /// Operations refused because the table was full.
  std::uint64_t m_refused = 0;
  /// Stored answers evicted before the end of their retention.
  std::uint64_t m_droppedAnswers = 0;
  /// Entries evicted before the end of their retention.
  std::uint64_t m_droppedEntries = 0;
};

/// The record of one operation.
struct OperationEntry
{
  enum class State : std::uint8_t
  {
    /// Waiting or running as m_ticket.
    Accepted,
    /// May have run; m_answer is set unless it was evicted.
    Ended,
    /// Attempts up to m_withdrawnAttempt must not run.
    Withdrawn,
  };

  State m_state = State::Accepted;
  Ticket m_ticket;
  /// Hash of the request; distinguishes a repeated request from a different one
  /// with the same id.
  std::uint64_t m_fingerprint = 0;
  std::uint8_t m_withdrawnAttempt = 0;
  std::optional<Answer> m_answer;
  /// Sequence number of the entry's latest Ending; 0 while accepted.
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

  /// Null when there is no record of the operation. Valid until the next
  /// change.
  const OperationEntry* Find(const OperationKey& aKey) const;

  /// Records an operation before it waits or runs. Returns false when the table
  /// is full. Precondition: the operation is unknown or withdrawn.
  bool Begin(const OperationKey& aKey,
             Ticket aTicket,
             std::uint64_t aFingerprint,
             MonotonicTime aNow);
  /// Records that the operation ended and may have run. Precondition: Begin was
  /// called for it.
  void Finish(const OperationKey& aKey, Answer aAnswer, MonotonicTime aNow);
  /// Removes the record of an operation that was certainly not run. Withdrawn
  /// attempts stay withdrawn.
  void Release(const OperationKey& aKey, MonotonicTime aNow);
  /// Marks attempts up to aAttempt as withdrawn. Returns false when the table
  /// is full. Precondition: the operation is unknown or withdrawn.
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
  /// Records when an operation ended or was withdrawn.
  struct Ending
  {
    OperationKey m_key;
    MonotonicTime m_time{};
    std::uint64_t m_number = 0;
  };

  /// Evicts entries until one more fits. Returns false when none may be
  /// evicted.
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
  /// The operations whose answers are stored, oldest first.
  std::deque<Ending> m_storedAnswers;
  std::uint64_t m_answerBytes = 0;
  std::uint64_t m_lastEnding = 0;
  OperationTableCounters m_counters;
};

} // namespace tarragontray
