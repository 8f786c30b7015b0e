#include "process/RecordConfirmations.h"

#include <algorithm>

namespace tarragontray {

namespace {

/// Until then the platform has usually stored or told what is needed, which
/// makes the rounds unnecessary.
constexpr Duration kFirstDepartureRound = std::chrono::milliseconds(100);
constexpr Duration kFirstHistoryRound = std::chrono::seconds(1);
/// An upstream waits 1 s for its acknowledgement; the quick rounds make up for
/// lost datagrams within that time.
constexpr Duration kQuickInterval = std::chrono::milliseconds(150);
constexpr std::size_t kQuickRounds = 5;
constexpr Duration kInterval = std::chrono::seconds(1);
/// Bounds m_sent; late answers to older pings are ignored.
constexpr std::size_t kMaxSent = 16'384;

} // namespace

void
RecordConfirmations::SetNeed(ConfirmationNeed aNeed, MonotonicTime aNow)
{
  if (aNeed == m_need) {
    return;
  }
  const bool isRunning = m_need != ConfirmationNeed::None;
  if (aNeed == ConfirmationNeed::Departure) {
    const MonotonicTime first = aNow + kFirstDepartureRound;
    m_next = isRunning ? std::min(m_next, first) : first;
    m_rounds = 0;
  } else if (!isRunning) {
    m_next = aNow + kFirstHistoryRound;
  }
  m_need = aNeed;
}

void
RecordConfirmations::Reset()
{
  m_rounds = 0;
  m_confirmed.clear();
  m_sent.clear();
}

MonotonicTime
RecordConfirmations::NextTick() const
{
  return m_need == ConfirmationNeed::None ? MonotonicTime::max() : m_next;
}

std::vector<VmId>
RecordConfirmations::TakeRound(const std::vector<VmId>& aPeers,
                               MonotonicTime aNow)
{
  std::vector<VmId> missing;
  if (aNow < NextTick()) {
    return missing;
  }
  const bool isQuick =
    m_need == ConfirmationNeed::Departure && m_rounds < kQuickRounds;
  m_next = aNow + (isQuick ? kQuickInterval : kInterval);
  ++m_rounds;
  const auto first = static_cast<std::size_t>(
    std::upper_bound(aPeers.begin(), aPeers.end(), m_lastAsked) -
    aPeers.begin());
  for (std::size_t i = 0; i < aPeers.size() && missing.size() < kMaxPings;
       ++i) {
    const VmId& peer = aPeers[(first + i) % aPeers.size()];
    if (!m_confirmed.contains(peer)) {
      missing.push_back(peer);
    }
  }
  if (!missing.empty()) {
    m_lastAsked = missing.back();
  }
  return missing;
}

void
RecordConfirmations::OnSent(std::uint32_t aNumber, const VmId& aPeer)
{
  m_sent.emplace(aNumber, aPeer);
  if (m_sent.size() > kMaxSent) {
    m_sent.erase(m_sent.begin());
  }
}

void
RecordConfirmations::OnAck(std::uint32_t aNumber, const VmId& aPeer)
{
  const auto sent = m_sent.find(aNumber);
  if (sent == m_sent.end() || sent->second != aPeer) {
    return;
  }
  m_sent.erase(sent);
  m_confirmed.insert(aPeer);
}

bool
RecordConfirmations::HasMajority(const std::vector<VmId>& aPeers) const
{
  const auto confirmed =
    std::count_if(aPeers.begin(), aPeers.end(), [this](const VmId& aPeer) {
      return m_confirmed.contains(aPeer);
    });
  return static_cast<std::size_t>(confirmed) * 2 > aPeers.size();
}

} // namespace tarragontray
