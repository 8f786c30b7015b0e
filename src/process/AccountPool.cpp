#include "process/AccountPool.h"

#include <algorithm>
#include <cmath>

namespace tarragontray {

namespace {

/// A request to other data centres asks each for its part of the missing tokens
/// and half as much again, since some have none to spare.
constexpr double kTransferExcess = 1.5;
/// Bounds of the time after which a node should ask again.
constexpr double kMinNextSeconds = 0.02;
constexpr double kMaxNextSeconds = 2.0;
/// A node may ask for at most this many calls at once, so that one request does
/// not distort the demand.
constexpr std::uint64_t kMaxWantedCalls = 10'000;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Tokens
TokensOf(double aCalls)
{
  return Tokens(static_cast<std::uint64_t>(aCalls * kTokensPerCall));
}

double
CallsOf(Tokens aTokens)
{
  return static_cast<double>(aTokens.Value()) / kTokensPerCall;
}

} // namespace

void
AccountPool::SetAccounts(const AccountRates& aRates,
                         std::size_t aKnownNodes,
                         std::size_t aDataCentres,
                         BootTime aNow)
{
  Advance(aNow);
  for (auto& [id, account] : m_accounts) {
    Refill(account, aNow);
  }
  m_knownNodes = std::max<std::size_t>(aKnownNodes, 1);
  m_dataCentres = std::max<std::size_t>(aDataCentres, 1);
  std::erase_if(m_accounts, [&](const auto& aEntry) {
    return !aRates.contains(aEntry.first);
  });
  for (const auto& [id, rate] : aRates) {
    const auto [entry, isNew] = m_accounts.try_emplace(id);
    Account& account = entry->second;
    if (isNew) {
      account.m_filledAt = m_filled;
    } else if (rate.m_rate < account.m_rate.m_rate) {
      account.m_surplus.clear();
    }
    account.m_rate = rate;
  }
  Cut(aNow);
}

LeaseReply
AccountPool::NewReply(BootTime aNow) const
{
  LeaseReply reply;
  reply.m_stamp = { m_incarnation, aNow.time_since_epoch() };
  return reply;
}

LeaseReply
AccountPool::OnRequest(const LeaseRequest& aRequest, BootTime aNow)
{
  Advance(aNow);
  LeaseReply reply = NewReply(aNow);
  if (!Admit(aRequest, aNow)) {
    ++m_counters.m_rejected;
    return reply;
  }
  for (const TokenAmount& wanted : aRequest.m_wanted) {
    const auto account = m_accounts.find(wanted.m_account);
    if (account != m_accounts.end()) {
      reply.m_granted.push_back(Grant(wanted, account->second, aNow));
    }
  }
  return reply;
}

bool
AccountPool::Admit(const LeaseRequest& aRequest, BootTime aNow)
{
  const MemberKey key(aRequest.m_node, aRequest.m_front);
  if (aRequest.m_fronts == 0 ||
      (!m_members.contains(key) && m_members.size() >= kMaxMembers)) {
    return false;
  }
  Member& member = m_members[key];
  const bool isOld = aRequest.m_incarnation < member.m_incarnation ||
                     (aRequest.m_incarnation == member.m_incarnation &&
                      aRequest.m_number <= member.m_number);
  if (isOld) {
    return false;
  }
  member.m_incarnation = aRequest.m_incarnation;
  member.m_number = aRequest.m_number;
  // The time of the echo bounds how long ago the request was sent. A request
  // that was delayed counts no longer than it would have otherwise.
  const BootTime echo(aRequest.m_echo.m_time);
  const bool isEchoValid =
    aRequest.m_echo.m_coordinator == m_incarnation && echo <= aNow;
  const bool counts = isEchoValid && aRequest.m_exclusiveFor >= kExclusiveFor &&
                      echo + kCountedFor > aNow;
  const bool wasCounted = member.m_isCounted;
  member.m_isCounted = counts;
  member.m_weight = 1.0 / aRequest.m_fronts;
  member.m_countsUntil = counts ? echo + kCountedFor : aNow;
  member.m_filledUntil = aNow;
  SumWeights();
  if (wasCounted && !counts) {
    Cut(aNow);
  }
  return true;
}

bool
AccountPool::Counts(const VmId& aNode,
                    std::uint32_t aFront,
                    BootTime aNow) const
{
  const auto found = m_members.find({ aNode, aFront });
  return found != m_members.end() && found->second.m_isCounted &&
         aNow < found->second.m_countsUntil;
}

void
AccountPool::SumWeights()
{
  m_weight = 0;
  for (const auto& [key, member] : m_members) {
    m_weight += member.m_isCounted ? member.m_weight : 0;
  }
}

void
AccountPool::Advance(BootTime aNow)
{
  bool hasLost = false;
  for (auto& [key, member] : m_members) {
    if (!member.m_isCounted) {
      continue;
    }
    const BootTime until = std::min(aNow, member.m_countsUntil);
    if (until > member.m_filledUntil) {
      m_filled += Seconds(until - member.m_filledUntil) * member.m_weight /
                  static_cast<double>(m_knownNodes);
      member.m_filledUntil = until;
    }
    if (aNow >= member.m_countsUntil) {
      member.m_isCounted = false;
      hasLost = true;
    }
  }
  if (hasLost) {
    SumWeights();
    Cut(aNow);
    // The number of its last request is needed only while a delayed one could
    // count.
    std::erase_if(m_members, [&](const auto& aEntry) {
      return aNow >= aEntry.second.m_countsUntil + kCountedFor;
    });
  }
}

double
AccountPool::RateOf(const Account& aAccount) const
{
  return aAccount.m_rate.m_rate.Value() + m_settings.ExtraRate().Value();
}

double
AccountPool::Capacity(const Account& aAccount) const
{
  if (m_weight <= 0) {
    return 0;
  }
  const auto burst = static_cast<double>(aAccount.m_rate.m_burst.Value());
  return 1.0 + burst * Share();
}

void
AccountPool::Refill(Account& aAccount, BootTime aNow)
{
  aAccount.m_level = std::min(
    Capacity(aAccount),
    aAccount.m_level + RateOf(aAccount) * (m_filled - aAccount.m_filledAt));
  aAccount.m_filledAt = m_filled;
  std::erase_if(aAccount.m_surplus,
                [&](const Batch& aBatch) { return aNow >= aBatch.m_expiry; });
}

void
AccountPool::Cut(BootTime aNow)
{
  for (auto& [id, account] : m_accounts) {
    Refill(account, aNow);
  }
}

TokenGrant
AccountPool::Grant(const TokenAmount& aWanted, Account& aAccount, BootTime aNow)
{
  Refill(aAccount, aNow);
  const std::uint64_t wanted =
    std::min(aWanted.m_tokens.Value() / kTokensPerCall, kMaxWantedCalls);
  aAccount.m_demand.Add(wanted, aNow);
  double held = aAccount.m_level;
  for (const Batch& batch : aAccount.m_surplus) {
    held += batch.m_calls;
  }
  const std::uint64_t granted =
    std::min(wanted, static_cast<std::uint64_t>(held));
  auto left = static_cast<double>(granted);
  while (left > 0 && !aAccount.m_surplus.empty()) {
    Batch& batch = aAccount.m_surplus.front();
    const double taken = std::min(left, batch.m_calls);
    batch.m_calls -= taken;
    left -= taken;
    if (batch.m_calls <= 0) {
      aAccount.m_surplus.pop_front();
    }
  }
  aAccount.m_level -= left;
  aAccount.m_missing =
    std::min(aAccount.m_missing + (wanted - granted), kMaxWantedCalls);
  m_counters.m_granted += CallCount(granted);
  TokenGrant grant;
  grant.m_account = aWanted.m_account;
  grant.m_tokens = Tokens(granted * kTokensPerCall);
  const double fill = RateOf(aAccount) * Share();
  const double missing = std::max(0.0, 1.0 - aAccount.m_level);
  const double next = fill > 0 ? missing / fill : kMaxNextSeconds;
  grant.m_next =
    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      std::clamp(next, kMinNextSeconds, kMaxNextSeconds)));
  grant.m_isPlentiful =
    granted == wanted && aAccount.m_level >= Capacity(aAccount) / 2;
  return grant;
}

LeaseReply
AccountPool::OnTransferRequest(const LeaseRequest& aRequest, BootTime aNow)
{
  Advance(aNow);
  LeaseReply reply = NewReply(aNow);
  for (const TokenAmount& wanted : aRequest.m_wanted) {
    const auto entry = m_accounts.find(wanted.m_account);
    if (entry == m_accounts.end()) {
      continue;
    }
    Account& account = entry->second;
    Refill(account, aNow);
    const auto demand = static_cast<double>(account.m_demand.LastSecond(aNow));
    const double spare = std::max(0.0, account.m_level - demand) / 2;
    const Tokens given = std::min(wanted.m_tokens, TokensOf(spare));
    if (given == Tokens(0)) {
      continue;
    }
    account.m_level -= CallsOf(given);
    m_counters.m_transferredOut += CallCount(given.Value() / kTokensPerCall);
    reply.m_granted.push_back(
      { .m_account = wanted.m_account, .m_tokens = given });
  }
  return reply;
}

bool
AccountPool::WantsTransfer(BootTime aNow) const
{
  return m_dataCentres > 1 && aNow >= m_transferAt &&
         std::any_of(
           m_accounts.begin(), m_accounts.end(), [](const auto& aEntry) {
             return aEntry.second.m_missing > 0;
           });
}

std::vector<TokenAmount>
AccountPool::TakeTransferWants(BootTime aNow)
{
  std::vector<TokenAmount> wants;
  m_transferAt = aNow + kTransferInterval;
  const auto others =
    static_cast<double>(std::max<std::size_t>(m_dataCentres - 1, 1));
  for (auto& [id, account] : m_accounts) {
    if (account.m_missing == 0) {
      continue;
    }
    const double part =
      static_cast<double>(account.m_missing) * kTransferExcess / others;
    wants.push_back({ id, TokensOf(part) });
    account.m_missing = 0;
  }
  return wants;
}

void
AccountPool::OnTransferred(const LeaseReply& aReply,
                           BootTime aAskedAt,
                           BootTime aNow)
{
  const BootTime expiry = aAskedAt + m_settings.TransferLife();
  if (aNow >= expiry) {
    return;
  }
  Advance(aNow);
  for (const TokenGrant& grant : aReply.m_granted) {
    const auto entry = m_accounts.find(grant.m_account);
    if (entry == m_accounts.end()) {
      continue;
    }
    Account& account = entry->second;
    Refill(account, aNow);
    const double calls = CallsOf(grant.m_tokens);
    m_counters.m_transferredIn +=
      CallCount(grant.m_tokens.Value() / kTokensPerCall);
    const double room = std::max(0.0, Capacity(account) - account.m_level);
    const double fits = std::min(room, calls);
    account.m_level += fits;
    if (calls > fits) {
      account.m_surplus.push_back({ expiry, calls - fits });
    }
  }
}

} // namespace tarragontray
