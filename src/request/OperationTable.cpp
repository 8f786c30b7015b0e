#include "request/OperationTable.h"

#include <algorithm>
#include <utility>

namespace tarragontray {

namespace {

std::uint64_t
SizeOf(const Answer& aAnswer)
{
  std::uint64_t size = sizeof(Answer) + aAnswer.m_http.m_body.size();
  for (const HttpHeader& header : aAnswer.m_http.m_headers) {
    size += sizeof(HttpHeader) + header.m_name.size() + header.m_value.size();
  }
  return size;
}

} // namespace

const OperationEntry*
OperationTable::Find(const OperationKey& aKey) const
{
  const auto found = m_entries.find(aKey);
  return found == m_entries.end() ? nullptr : &found->second;
}

bool
OperationTable::Begin(const OperationKey& aKey,
                      Ticket aTicket,
                      std::uint64_t aFingerprint,
                      MonotonicTime aNow)
{
  if (!m_entries.contains(aKey) && !MakeRoom(aNow)) {
    return false;
  }
  // m_withdrawnAttempt stays: a withdrawn attempt may still arrive.
  OperationEntry& entry = m_entries[aKey];
  entry.m_state = OperationEntry::State::Accepted;
  entry.m_ticket = aTicket;
  entry.m_fingerprint = aFingerprint;
  entry.m_ending = 0;
  return true;
}

void
OperationTable::Finish(const OperationKey& aKey,
                       Answer aAnswer,
                       MonotonicTime aNow)
{
  OperationEntry& entry = m_entries[aKey];
  entry.m_state = OperationEntry::State::Ended;
  m_answerBytes += SizeOf(aAnswer);
  entry.m_answer = std::move(aAnswer);
  RecordEnding(aKey, entry, aNow);
  m_storedAnswers.push_back(m_endings.back());
  EvictExcessAnswers();
}

void
OperationTable::Release(const OperationKey& aKey, MonotonicTime aNow)
{
  const auto found = m_entries.find(aKey);
  if (found == m_entries.end()) {
    return;
  }
  OperationEntry& entry = found->second;
  if (entry.m_withdrawnAttempt == 0) {
    m_entries.erase(found);
    return;
  }
  entry.m_state = OperationEntry::State::Withdrawn;
  RecordEnding(aKey, entry, aNow);
}

bool
OperationTable::Withdraw(const OperationKey& aKey,
                         std::uint8_t aAttempt,
                         MonotonicTime aNow)
{
  // Repeated withdrawals of one operation each record an ending.
  DropExpired(aNow);
  const bool isFull = m_endings.size() >= 2 * m_settings.m_maxEntries;
  if (isFull || (!m_entries.contains(aKey) && !MakeRoom(aNow))) {
    return false;
  }
  OperationEntry& entry = m_entries[aKey];
  entry.m_state = OperationEntry::State::Withdrawn;
  entry.m_withdrawnAttempt = std::max(entry.m_withdrawnAttempt, aAttempt);
  RecordEnding(aKey, entry, aNow);
  return true;
}

bool
OperationTable::MakeRoom(MonotonicTime aNow)
{
  DropExpired(aNow);
  if (m_entries.size() < m_settings.m_maxEntries) {
    return true;
  }
  while (!m_endings.empty() &&
         m_endings.front().m_time + kMinRetention <= aNow &&
         m_entries.size() >= m_settings.m_maxEntries) {
    DropOldestEntry();
    ++m_counters.m_droppedEntries;
  }
  if (m_entries.size() < m_settings.m_maxEntries) {
    return true;
  }
  ++m_counters.m_refused;
  return false;
}

void
OperationTable::DropExpired(MonotonicTime aNow)
{
  while (!m_endings.empty() &&
         m_endings.front().m_time + m_settings.m_retention <= aNow) {
    DropOldestEntry();
  }
}

void
OperationTable::RecordEnding(const OperationKey& aKey,
                             OperationEntry& aEntry,
                             MonotonicTime aNow)
{
  aEntry.m_ending = ++m_lastEnding;
  m_endings.push_back({ aKey, aNow, aEntry.m_ending });
}

void
OperationTable::DropOldestEntry()
{
  const Ending ending = std::move(m_endings.front());
  m_endings.pop_front();
  while (!m_storedAnswers.empty() &&
         m_storedAnswers.front().m_number <= ending.m_number) {
    m_storedAnswers.pop_front();
  }
  const auto found = m_entries.find(ending.m_key);
  if (found != m_entries.end() && found->second.m_ending == ending.m_number) {
    DropAnswer(found->second);
    m_entries.erase(found);
  }
}

void
OperationTable::DropAnswer(OperationEntry& aEntry)
{
  if (aEntry.m_answer) {
    m_answerBytes -= SizeOf(*aEntry.m_answer);
    aEntry.m_answer.reset();
  }
}

void
OperationTable::EvictExcessAnswers()
{
  while (!m_storedAnswers.empty() &&
         m_answerBytes > m_settings.m_maxAnswerBytes.Value()) {
    const auto found = m_entries.find(m_storedAnswers.front().m_key);
    if (found != m_entries.end() &&
        found->second.m_ending == m_storedAnswers.front().m_number) {
      DropAnswer(found->second);
      ++m_counters.m_droppedAnswers;
    }
    m_storedAnswers.pop_front();
  }
}

} // namespace tarragontray
