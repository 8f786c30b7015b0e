/// \file
/// The client accounts' recent use of an upstream's slot time, and which of
/// them used more than their share.
///
///     AccountShares shares;
///     shares.OnOffered(account, now);
///     shares.OnStarted(account, serviceTime, now);
///     bool goesAfterOthers = shares.IsOverShare(account, now);
///
/// The share of an account is the larger of an equal one, among the accounts
/// of the last seconds, and its usual part of the slot time, a mean over a
/// minute: an account that is always large is not held back for that, one at
/// several times its usual rate is, until that has become usual. An account
/// whose calls start much less often than all calls is not over its share, so
/// that holding it back can't starve it.
///
/// Thread safety: one thread for each instance.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "base/Ids.h"
#include "base/Units.h"
#include "request/RecentUse.h"

namespace tarragontray {

class AccountShares
{
public:
  /// Maximum number of accounts tracked; others are never over their share.
  static constexpr std::size_t kMaxAccounts = 1024;

  /// A call of the account arrived.
  void OnOffered(const ClientAccountId& aAccount, MonotonicTime aNow);
  /// A call of the account started. \param aServiceTime the expected time; the
  /// difference to the actual one evens out over the calls of a route.
  void OnStarted(const ClientAccountId& aAccount,
                 Duration aServiceTime,
                 MonotonicTime aNow);
  /// True when the account should let the others' calls go first.
  bool IsOverShare(const ClientAccountId& aAccount, MonotonicTime aNow) const;
  /// Number of accounts that offered a call in the last seconds.
  std::size_t ActiveAccounts() const { return m_active; }
  /// Number of calls of accounts beyond kMaxAccounts.
  std::uint64_t Untracked() const { return m_untracked; }

private:
  /// Time constant of the use that is compared with the share. Long enough for
  /// several calls of a small account at one of some tens of upstreams.
  static constexpr Duration kRecentTime = std::chrono::seconds(4);
  /// Time constant of the usual share, and the time after the first call until
  /// which it is the plain mean.
  static constexpr Duration kUsualTime = std::chrono::minutes(1);
  static constexpr Duration kLearningTime = std::chrono::seconds(5);

  struct Account
  {
    RecentUse m_recent{ kRecentTime };
    /// Usual part of the slot time of all accounts.
    double m_usualShare = 0;
    RecentUse m_offered{ kRecentTime };
    RecentUse m_started{ kRecentTime };
  };

  /// Null when no more accounts can be tracked.
  Account* Track(const ClientAccountId& aAccount);
  /// Counts the active accounts, updates the usual shares and forgets accounts
  /// without any use.
  void Review(MonotonicTime aNow);

  std::unordered_map<ClientAccountId, Account> m_accounts;
  /// All tracked accounts together.
  Account m_all;
  /// Mean service time of the started calls, in seconds.
  double m_meanServiceTime = 0;
  std::size_t m_active = 0;
  MonotonicTime m_firstReview{};
  MonotonicTime m_lastReview{};
  std::uint64_t m_untracked = 0;
};

} // namespace tarragontray
