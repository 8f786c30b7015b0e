#include "process/RecordConfirmations.h"

#include <algorithm>
#include <iterator>

namespace tarragontray {

namespace {

/// Until then the platform has usually stored what is to be confirmed, which
/// makes the rounds unnecessary.
constexpr Duration kFirstRound = std::chrono::milliseconds(100);
/// An upstream waits 1 s for its acknowledgement; the quick rounds make up for
/// lost datagrams within that time.
constexpr Duration kQuickInterval = std::chrono::milliseconds(150);
constexpr std::size_t kQuickRounds = 5;
constexpr Duration kInterval = std::chrono::seconds(1);
/// Bounds m_sent; late answers to older pings are ignored.
constexpr std::size_t kMaxSent = 16'384;

} // namespace

void
RecordConfirmations::SetWanted(bool aIsWanted, MonotonicTime aNow)
{
  if (aIsWanted && !m_isWanted) {
    m_next = aNow + kFirstRound;
    m_rounds = 0;
  }
  m_isWanted = aIsWanted;
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
  return m_isWanted ? m_next : MonotonicTime::max();
}

bool
RecordConfirmations::TakeRound(MonotonicTime aNow)
{
  if (aNow < NextTick()) {
    return false;
  }
  m_next = aNow + (m_rounds < kQuickRounds ? kQuickInterval : kInterval);
  ++m_rounds;
  return true;
}

std::vector<VmId>
RecordConfirmations::Missing(const std::vector<VmId>& aPeers) const
{
  std::vector<VmId> missing;
  std::copy_if(
    aPeers.begin(),
    aPeers.end(),
    std::back_inserter(missing),
    [this](const VmId& aPeer) { return !m_confirmed.contains(aPeer); });
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
