#include "process/TokenClient.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tarragontray {

namespace {

/// The part of the expected demand that is asked for in advance when the pool
/// is short. A token that is not used is lost, and a call without one can still
/// ask for it.
constexpr double kPrefetchedPart = 0.8;
/// Retry time while nothing is known about the pool.
constexpr Duration kUnknownNext = std::chrono::milliseconds(300);

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

TokenClient::TokenClient(const TokenClientSettings& aSettings,
                         Random& aRandom,
                         BootTime aNow)
  : m_settings(aSettings)
  , m_random(&aRandom)
  // An earlier process of this node may still count somewhere.
  , m_claimedUntil(aNow + kExclusiveFor)
{
}

void
TokenClient::SetAccounts(const AccountRates& aRates,
                         std::size_t aKnownNodes,
                         BootTime aNow)
{
  m_knownNodes = std::max<std::size_t>(aKnownNodes, 1);
  std::erase_if(m_accounts, [&](const auto& aEntry) {
    return !aRates.contains(aEntry.first);
  });
  for (const auto& [id, rate] : aRates) {
    const auto [entry, isNew] = m_accounts.try_emplace(id);
    Account& account = entry->second;
    const bool isLowered = rate.m_rate < account.m_rate.m_rate ||
                           rate.m_burst < account.m_rate.m_burst;
    if (isNew) {
      account.m_knownSince = aNow;
    } else if (isLowered) {
      account.m_batches.clear();
    }
    account.m_rate = rate;
    DropExpired(account, aNow);
  }
  m_waiting = 0;
  for (const auto& [id, account] : m_accounts) {
    m_waiting += account.m_waiting;
  }
}

void
TokenClient::SetCoordinators(std::vector<VmId> aRanked, BootTime aNow)
{
  if (aRanked.empty() || m_ranked.empty() ||
      aRanked.front() != m_ranked.front()) {
    m_firstSince = aNow;
  }
  m_ranked = std::move(aRanked);
  const bool isRanked =
    std::find(m_ranked.begin(), m_ranked.end(), m_coordinator) !=
    m_ranked.end();
  if (!isRanked) {
    ChangeTo(m_ranked.empty() ? VmId() : m_ranked.front(), aNow);
  }
}

void
TokenClient::ChangeTo(const VmId& aCoordinator, BootTime aNow)
{
  m_coordinator = aCoordinator;
  m_answeredAt = aNow;
  m_echo.reset();
  m_isReleasing = false;
}

void
TokenClient::AddDemand(const ClientAccountId& aAccount, BootTime aNow)
{
  const auto found = m_accounts.find(aAccount);
  if (found != m_accounts.end()) {
    found->second.m_demand.Add(1, aNow);
  }
}

void
TokenClient::DropExpired(Account& aAccount, BootTime aNow)
{
  std::erase_if(aAccount.m_batches, [&](const Batch& aBatch) {
    return aNow >= aBatch.m_expiry || aBatch.m_calls == 0;
  });
}

std::optional<Permit>
TokenClient::Take(const ClientAccountId& aAccount, BootTime aNow)
{
  const auto found = m_accounts.find(aAccount);
  if (found == m_accounts.end()) {
    return std::nullopt;
  }
  Account& account = found->second;
  DropExpired(account, aNow);
  if (!account.m_batches.empty()) {
    Batch& batch = account.m_batches.front();
    --batch.m_calls;
    account.m_served.Add(1, aNow);
    return Permit{ batch.m_expiry };
  }
  if (TakeOwn(account, aNow)) {
    account.m_served.Add(1, aNow);
    return Permit{};
  }
  return std::nullopt;
}

bool
TokenClient::TakeOwn(Account& aAccount, BootTime aNow)
{
  if (!CountsNowhere(aNow)) {
    return false;
  }
  const double nodes = static_cast<double>(m_knownNodes) * m_settings.m_fronts;
  const double rate =
    (aAccount.m_rate.m_rate.Value() + m_settings.m_rates.ExtraRate().Value()) /
    nodes;
  if (!aAccount.m_own) {
    // Many nodes may lose their coordinators at once. A bucket holds at least
    // one token; a random level at the start keeps the nodes from getting these
    // tokens all at the same time.
    aAccount.m_own =
      OwnShare{ -m_random->Fraction(),
                std::max(m_claimedUntil, aAccount.m_knownSince) };
  }
  OwnShare& own = *aAccount.m_own;
  const double burst =
    static_cast<double>(aAccount.m_rate.m_burst.Value()) / nodes;
  own.m_level =
    std::min(1.0 + burst, own.m_level + rate * Seconds(aNow - own.m_filledAt));
  own.m_filledAt = aNow;
  if (own.m_level < 1) {
    return false;
  }
  own.m_level -= 1;
  return true;
}

void
TokenClient::Return(const ClientAccountId& aAccount,
                    const Permit& aPermit,
                    BootTime aNow)
{
  const auto found = m_accounts.find(aAccount);
  if (found != m_accounts.end() && aNow < aPermit.m_expiry) {
    found->second.m_batches.push_front({ aPermit.m_expiry, 1 });
  }
}

void
TokenClient::AddWaiting(const ClientAccountId& aAccount, int aDifference)
{
  const auto found = m_accounts.find(aAccount);
  if (found == m_accounts.end()) {
    return;
  }
  // Below 0 when the account was removed and added again while calls waited.
  const std::int64_t changed = std::max<std::int64_t>(
    static_cast<std::int64_t>(found->second.m_waiting) + aDifference, 0);
  m_waiting -= found->second.m_waiting;
  found->second.m_waiting = static_cast<std::uint32_t>(changed);
  m_waiting += found->second.m_waiting;
}

Duration
TokenClient::TimeToNext(const ClientAccountId& aAccount, BootTime aNow) const
{
  const auto found = m_accounts.find(aAccount);
  if (found == m_accounts.end() || found->second.m_nextAt <= aNow) {
    return kUnknownNext;
  }
  return found->second.m_nextAt - aNow;
}

double
TokenClient::Pressure(const ClientAccountId& aAccount, BootTime aNow)
{
  const auto found = m_accounts.find(aAccount);
  if (found == m_accounts.end()) {
    return 1;
  }
  Account& account = found->second;
  const auto demand = static_cast<double>(account.m_demand.LastSecond(aNow));
  const auto served = static_cast<double>(account.m_served.LastSecond(aNow));
  return std::max(1.0, demand / std::max(1.0, served));
}

BootTime
TokenClient::NextRequest() const
{
  if (m_isInFlight || m_accounts.empty() || m_coordinator.IsEmpty()) {
    return BootTime::max();
  }
  const BootTime earliest = m_sentAt + m_settings.m_minInterval;
  BootTime next = m_waiting > 0 ? earliest : m_sentAt + m_settings.m_interval;
  if (m_echo && m_claimedAt != m_coordinator) {
    // The pool lacks this node's share until it is claimed there.
    next = std::min(next, std::max(earliest, m_claimedUntil));
  }
  return next;
}

bool
TokenClient::MayClaim(BootTime aNow) const
{
  return !m_isReleasing && HasAnswered(aNow) &&
         (m_claimedAt == m_coordinator || CountsNowhere(aNow));
}

std::uint64_t
TokenClient::Wanted(Account& aAccount, BootTime aNow) const
{
  DropExpired(aAccount, aNow);
  const double expected =
    static_cast<double>(aAccount.m_demand.LastSecond(aNow)) *
    Seconds(m_settings.m_interval);
  std::uint64_t wanted = aAccount.m_waiting;
  if (expected > 0) {
    wanted += aAccount.m_isPlentiful
                ? static_cast<std::uint64_t>(std::ceil(expected)) + 1
                : static_cast<std::uint64_t>(expected * kPrefetchedPart);
  }
  std::uint64_t held = 0;
  for (const Batch& batch : aAccount.m_batches) {
    held += batch.m_calls;
  }
  return wanted > held ? wanted - held : 0;
}

LeaseRequest
TokenClient::MakeRequest(BootTime aNow)
{
  const bool isOtherFirst = !m_ranked.empty() &&
                            m_ranked.front() != m_coordinator &&
                            aNow - m_firstSince >= m_settings.m_stableFor;
  if (isOtherFirst && HasAnswered(aNow)) {
    m_isReleasing = true;
  }
  LeaseRequest request;
  request.m_kind = LeaseKind::Pool;
  request.m_node = m_settings.m_vm;
  request.m_incarnation = m_settings.m_incarnation;
  request.m_front = m_settings.m_front;
  request.m_fronts = m_settings.m_fronts;
  request.m_number = ++m_number;
  m_hasClaimed = MayClaim(aNow);
  if (m_hasClaimed) {
    request.m_exclusiveFor = kExclusiveFor;
    m_claimedAt = m_coordinator;
    m_claimedUntil = aNow + kExclusiveFor;
    for (auto& [id, account] : m_accounts) {
      account.m_own.reset();
    }
  }
  request.m_echo = m_echo.value_or(LeaseStamp{});
  for (auto& [id, account] : m_accounts) {
    const std::uint64_t wanted = Wanted(account, aNow);
    if (wanted > 0) {
      request.m_wanted.push_back({ id, Tokens(wanted * kTokensPerCall) });
    }
  }
  m_isInFlight = true;
  m_sentAt = aNow;
  m_sentTo = m_coordinator;
  return request;
}

void
TokenClient::OnReply(const LeaseReply& aReply, BootTime aNow)
{
  m_isInFlight = false;
  const BootTime expiry = m_sentAt + m_settings.m_rates.GrantLife();
  for (const TokenGrant& grant : aReply.m_granted) {
    const auto found = m_accounts.find(grant.m_account);
    if (found == m_accounts.end()) {
      continue;
    }
    Account& account = found->second;
    account.m_isPlentiful = grant.m_isPlentiful;
    account.m_nextAt = aNow + grant.m_next;
    const std::uint64_t calls = grant.m_tokens.Value() / kTokensPerCall;
    if (calls > 0 && aNow < expiry) {
      account.m_batches.push_back({ expiry, calls });
    }
  }
  if (m_sentTo != m_coordinator) {
    return;
  }
  m_answeredAt = aNow;
  m_echo = aReply.m_stamp;
  if (m_isReleasing && !m_hasClaimed) {
    // The coordinator has handled a request without a claim after all those
    // with one, so that this node no longer counts there.
    if (m_claimedAt == m_coordinator) {
      m_claimedUntil = m_sentAt;
    }
    ChangeTo(m_ranked.front(), aNow);
  }
}

void
TokenClient::OnFailure(BootTime aNow)
{
  m_isInFlight = false;
  if (m_ranked.empty() || aNow - m_answeredAt < m_settings.m_replyLimit) {
    return;
  }
  const auto current =
    std::find(m_ranked.begin(), m_ranked.end(), m_coordinator);
  const bool isLast =
    current == m_ranked.end() || std::next(current) == m_ranked.end();
  ChangeTo(isLast ? m_ranked.front() : *std::next(current), aNow);
}

} // namespace tarragontray
