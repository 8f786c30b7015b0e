/// \file
/// The tokens of one front thread: which it holds, which it asks for, and at
/// which coordinator its node's share counts.
///
///     auto client = TokenClient::Create(settings, random, now);
///     client.SetAccounts(rates, knownNodes, now);
///     client.SetCoordinators(ranked, now);
///     if (std::optional<Permit> permit = client.Take(account, now)) { call }
///     else { client.AddWaiting(account, 1); ... }
///     if (now >= client.NextRequest()) {
///       LeaseRequest request = client.MakeRequest(now);  // to Coordinator()
///       client.OnReply(reply, now);                      // or OnFailure(now)
///     }
///
/// Thread safety: one thread for each instance.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "base/Ids.h"
#include "base/Random.h"
#include "base/Units.h"
#include "connection/LeaseMessages.h"
#include "process/AccountRules.h"
#include "process/DemandWindow.h"

namespace tarragontray {

struct TokenClientSettings
{
  VmId m_vm;
  Incarnation m_incarnation;
  std::uint32_t m_front = 0;
  std::uint32_t m_fronts = 1;
  RateSettings m_rates;
  /// Time between two requests. Below half of kCountedFor, since a request
  /// repeats the stamp of the reply before it.
  Duration m_interval = std::chrono::milliseconds(300);
  /// Least time between two requests while calls wait for tokens, which bounds
  /// the load of the coordinator.
  Duration m_minInterval = std::chrono::milliseconds(20);
  /// A coordinator that has not answered for this long is replaced by the next.
  Duration m_replyLimit = std::chrono::milliseconds(400);
  /// Another node must have ranked first for this long before this one changes
  /// to it from a coordinator that answers.
  Duration m_stableFor = std::chrono::seconds(5);
};

/// Permission for one call.
struct Permit
{
  /// Until then the token can be returned; the epoch when it can't.
  BootTime m_expiry{};
};

/// See the file comment.
class TokenClient
{
public:
  /// \param aNow the start of the process or later.
  /// Precondition: aRandom outlives the result.
  TokenClient(const TokenClientSettings& aSettings,
              Random& aRandom,
              BootTime aNow);

  /// Replaces the accounts. Tokens of accounts whose rate was lowered or that
  /// are no longer listed are dropped.
  /// \param aKnownNodes as in AccountPool::SetAccounts.
  void SetAccounts(const AccountRates& aRates,
                   std::size_t aKnownNodes,
                   BootTime aNow);
  bool HasAccounts() const { return !m_accounts.empty(); }
  bool IsLimited(const ClientAccountId& aAccount) const
  {
    return m_accounts.contains(aAccount);
  }

  /// Sets the possible coordinators, in the order of their ranks.
  void SetCoordinators(std::vector<VmId> aRanked, BootTime aNow);
  /// Whether this front thread's share counts at no coordinator, nor may it
  /// still, so that it is the front thread's own.
  bool CountsNowhere(BootTime aNow) const { return aNow >= m_claimedUntil; }
  /// The coordinator to ask; null when there is none.
  const VmId* Coordinator() const
  {
    return m_coordinator.IsEmpty() ? nullptr : &m_coordinator;
  }

  /// Records a call's demand; for its first Take() only.
  void AddDemand(const ClientAccountId& aAccount, BootTime aNow);
  /// Spends a token, if there is one. Precondition: IsLimited(aAccount).
  std::optional<Permit> Take(const ClientAccountId& aAccount, BootTime aNow);
  /// Gives back the token of a call that has certainly not run.
  void Return(const ClientAccountId& aAccount,
              const Permit& aPermit,
              BootTime aNow);
  /// Counts calls that wait for a token, by a positive or negative difference.
  void AddWaiting(const ClientAccountId& aAccount, int aDifference);
  /// When the account's next tokens can be expected, from now on.
  Duration TimeToNext(const ClientAccountId& aAccount, BootTime aNow) const;

  /// How many calls of the last second came for each one that got a token; at
  /// least 1.
  double Pressure(const ClientAccountId& aAccount, BootTime aNow);

  /// When the next request is due; max() while one is in flight, and without
  /// accounts or a coordinator.
  BootTime NextRequest() const;
  /// The next request, which is then in flight. Precondition: Coordinator() is
  /// not null and no request is in flight.
  LeaseRequest MakeRequest(BootTime aNow);
  void OnReply(const LeaseReply& aReply, BootTime aNow);
  void OnFailure(BootTime aNow);

private:
  struct Batch
  {
    BootTime m_expiry;
    std::uint64_t m_calls = 0;
  };
  /// The node's own share while it counts nowhere.
  struct OwnShare
  {
    double m_level = 0;
    BootTime m_filledAt;
  };
  struct Account
  {
    AccountRate m_rate;
    std::deque<Batch> m_batches;
    std::optional<OwnShare> m_own;
    DemandWindow m_demand;
    DemandWindow m_served;
    std::uint32_t m_waiting = 0;
    bool m_isPlentiful = false;
    BootTime m_nextAt{};
    BootTime m_knownSince{};
  };

  bool HasAnswered(BootTime aNow) const
  {
    return m_echo && aNow - m_answeredAt <= m_settings.m_replyLimit;
  }
  /// Whether the next request may make this node count at m_coordinator.
  bool MayClaim(BootTime aNow) const;
  bool TakeOwn(Account& aAccount, BootTime aNow);
  static void DropExpired(Account& aAccount, BootTime aNow);
  std::uint64_t Wanted(Account& aAccount, BootTime aNow) const;
  void ChangeTo(const VmId& aCoordinator, BootTime aNow);

  TokenClientSettings m_settings;
  Random* m_random;
  std::map<ClientAccountId, Account> m_accounts;
  std::size_t m_knownNodes = 1;
  std::vector<VmId> m_ranked;
  /// Since when m_ranked begins with the same node.
  BootTime m_firstSince{};
  VmId m_coordinator;
  /// When this client began to use m_coordinator, or when that answered last.
  BootTime m_answeredAt{};
  /// The stamp of m_coordinator's last reply.
  std::optional<LeaseStamp> m_echo;
  /// The node at which this client's share may count, and until when.
  VmId m_claimedAt;
  BootTime m_claimedUntil;
  /// Whether requests claim nothing, so that the coordinator can be changed as
  /// soon as it has answered one of them.
  bool m_isReleasing = false;
  bool m_isInFlight = false;
  bool m_hasClaimed = false;
  BootTime m_sentAt{};
  /// The coordinator that the last request was for.
  VmId m_sentTo;
  std::uint64_t m_number = 0;
  std::uint32_t m_waiting = 0;
};

} // namespace tarragontray
