#include "request/AccountShares.h"

#include <algorithm>

namespace tarragontray {

namespace {

/// An account is over its share when it used this many times as much. The use
/// of a few seconds varies by about this factor without any change of demand.
constexpr double kExcess = 1.5;
/// Calls that an account may use beyond that: a single call is more than the
/// share of a small account.
constexpr double kFreeCalls = 2;
/// An account below this fraction of the starts per offered call of all
/// accounts is not held back. Callers are promised a quarter; the rest allows
/// for the delay of the measured fraction.
constexpr double kMinStartFraction = 0.5;
/// An account with fewer calls than this in the recent use is not active.
constexpr double kMinActive = 0.05;
/// An account that isn't active and has a smaller usual share is forgotten.
constexpr double kMinUsualShare = 0.001;
constexpr Duration kReviewInterval = std::chrono::milliseconds(200);
/// Weight of a new service time in the mean.
constexpr double kMeanWeight = 1.0 / 16;

double
Ratio(Duration aNumerator, Duration aDenominator)
{
  return std::chrono::duration<double>(aNumerator) /
         std::chrono::duration<double>(aDenominator);
}

} // namespace

AccountShares::Account*
AccountShares::Track(const ClientAccountId& aAccount)
{
  const auto found = m_accounts.find(aAccount);
  if (found != m_accounts.end()) {
    return &found->second;
  }
  if (m_accounts.size() >= kMaxAccounts) {
    ++m_untracked;
    return nullptr;
  }
  return &m_accounts[aAccount];
}

void
AccountShares::OnOffered(const ClientAccountId& aAccount, MonotonicTime aNow)
{
  if (Account* account = Track(aAccount)) {
    account->m_offered.Add(1, aNow);
    m_all.m_offered.Add(1, aNow);
  }
  if (aNow >= m_lastReview + kReviewInterval) {
    Review(aNow);
  }
}

void
AccountShares::OnStarted(const ClientAccountId& aAccount,
                         Duration aServiceTime,
                         MonotonicTime aNow)
{
  const double seconds = std::chrono::duration<double>(aServiceTime).count();
  Account* account = Track(aAccount);
  if (account == nullptr) {
    return;
  }
  for (Account* each : { account, &m_all }) {
    each->m_recent.Add(seconds, aNow);
    each->m_started.Add(1, aNow);
  }
  m_meanServiceTime += kMeanWeight * (seconds - m_meanServiceTime);
}

bool
AccountShares::IsOverShare(const ClientAccountId& aAccount,
                           MonotonicTime aNow) const
{
  const auto found = m_accounts.find(aAccount);
  if (found == m_accounts.end() || m_active < 2) {
    return false;
  }
  const Account& account = found->second;
  const double equalShare = 1.0 / static_cast<double>(m_active);
  const double allowed = kExcess * std::max(equalShare, account.m_usualShare) *
                           m_all.m_recent.Sum(aNow) +
                         kFreeCalls * m_meanServiceTime;
  if (account.m_recent.Sum(aNow) <= allowed) {
    return false;
  }
  const double startFraction =
    account.m_started.Sum(aNow) / (account.m_offered.Sum(aNow) + 1);
  const double allStartFraction =
    m_all.m_started.Sum(aNow) / (m_all.m_offered.Sum(aNow) + 1);
  return startFraction >= kMinStartFraction * allStartFraction;
}

void
AccountShares::Review(MonotonicTime aNow)
{
  if (m_firstReview == MonotonicTime{}) {
    m_firstReview = m_lastReview = aNow;
  }
  const Duration known = aNow - m_firstReview;
  const Duration window = known < kLearningTime ? known : kUsualTime;
  const double weight = window > Duration::zero()
                          ? std::min(1.0, Ratio(aNow - m_lastReview, window))
                          : 1.0;
  m_lastReview = aNow;
  const double all = m_all.m_recent.Sum(aNow);
  m_active = 0;
  for (auto entry = m_accounts.begin(); entry != m_accounts.end();) {
    Account& account = entry->second;
    if (all > 0) {
      const double share = account.m_recent.Sum(aNow) / all;
      account.m_usualShare += weight * (share - account.m_usualShare);
    }
    const bool isActive = account.m_offered.Sum(aNow) >= kMinActive;
    m_active += isActive ? 1 : 0;
    const bool isForgotten = !isActive && account.m_usualShare < kMinUsualShare;
    entry = isForgotten ? m_accounts.erase(entry) : std::next(entry);
  }
}

} // namespace tarragontray
