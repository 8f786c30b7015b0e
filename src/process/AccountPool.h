/// \file
/// The tokens of accounts with a rate that the nodes of one data centre share.
/// The coordinator of the data centre holds the pool.
///
/// Each node brings an equal share of every account's rate, as long as it
/// counts here. A node counts at one coordinator at a time, so that all pools
/// and the nodes' own shares together never exceed the rate, whichever nodes
/// believe to be coordinator. Pools that are short get tokens of other data
/// centres' pools.
///
///     AccountPool pool(settings, incarnation);
///     pool.SetAccounts(rates, knownNodes, dataCentres, now);
///     LeaseReply reply = pool.OnRequest(request, now);
///     for (const TokenAmount& wanted : pool.TakeTransferWants(now)) { ask }
///
/// Thread safety: one thread for each instance.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"
#include "connection/LeaseMessages.h"
#include "process/AccountRules.h"
#include "process/DemandWindow.h"

namespace tarragontray {

struct PoolCounters
{
  /// Calls for which tokens were granted.
  CallCount m_granted;
  CallCount m_transferredIn;
  CallCount m_transferredOut;
  /// Requests of nodes beyond kMaxMembers, or older than the node's last one.
  std::uint64_t m_rejected = 0;
};

/// See the file comment.
class AccountPool
{
public:
  /// Front threads that can count at the same time.
  static constexpr std::size_t kMaxMembers = 4096;
  /// The least time between two requests to other data centres.
  static constexpr Duration kTransferInterval = std::chrono::milliseconds(100);

  AccountPool(const RateSettings& aSettings, Incarnation aIncarnation)
    : m_settings(aSettings)
    , m_incarnation(aIncarnation)
  {
  }

  /// Replaces the accounts. A new account's pool starts empty; one whose burst
  /// was lowered is cut to it, and one that is no longer listed is dropped.
  /// \param aKnownNodes the nodes of all data centres, dead ones that are still
  /// remembered included; at least 1.
  /// \param aDataCentres the data centres of these nodes; at least 1.
  void SetAccounts(const AccountRates& aRates,
                   std::size_t aKnownNodes,
                   std::size_t aDataCentres,
                   BootTime aNow);

  /// Handles a request of kind Pool. The caller fills in the id, the age and
  /// the confirmed revision of the reply.
  LeaseReply OnRequest(const LeaseRequest& aRequest, BootTime aNow);
  /// Handles a request of kind Transfer: grants at most half of what this pool
  /// holds beyond its own demand of the last second.
  LeaseReply OnTransferRequest(const LeaseRequest& aRequest, BootTime aNow);

  /// Whether a request to the other data centres is due.
  bool WantsTransfer(BootTime aNow) const;
  /// What each of the other data centres is to be asked for.
  std::vector<TokenAmount> TakeTransferWants(BootTime aNow);
  /// Adds the tokens of an answer to that request.
  /// \param aAskedAt when the request was made.
  void OnTransferred(const LeaseReply& aReply,
                     BootTime aAskedAt,
                     BootTime aNow);

  /// Whether a front thread's share counts here at aNow.
  bool Counts(const VmId& aNode, std::uint32_t aFront, BootTime aNow) const;
  const PoolCounters& Counters() const { return m_counters; }
  bool IsEmpty() const { return m_accounts.empty(); }

private:
  /// A front thread of an entry node.
  using MemberKey = std::pair<VmId, std::uint32_t>;
  struct Member
  {
    Incarnation m_incarnation;
    std::uint64_t m_number = 0;
    double m_weight = 1;
    BootTime m_countsUntil{};
    /// Up to when its share has been added to m_filled.
    BootTime m_filledUntil{};
    bool m_isCounted = false;
  };
  struct Batch
  {
    BootTime m_expiry;
    double m_calls = 0;
  };
  struct Account
  {
    AccountRate m_rate;
    /// In calls; at most Capacity().
    double m_level = 0;
    /// m_filled when m_level was last brought up to date.
    double m_filledAt = 0;
    /// Transferred tokens that did not fit into the bucket.
    std::deque<Batch> m_surplus;
    /// Calls that nodes of this data centre wanted tokens for.
    DemandWindow m_demand;
    /// Calls without a token since the last request for a transfer.
    std::uint64_t m_missing = 0;
  };

  LeaseReply NewReply(BootTime aNow) const;
  /// Adds the shares of the nodes that count up to aNow.
  void Advance(BootTime aNow);
  /// Whether the request is valid and newer than the member's last one; records
  /// it.
  bool Admit(const LeaseRequest& aRequest, BootTime aNow);
  void SumWeights();
  double RateOf(const Account& aAccount) const;
  double Capacity(const Account& aAccount) const;
  void Refill(Account& aAccount, BootTime aNow);
  /// Cuts all buckets to their capacities.
  void Cut(BootTime aNow);
  TokenGrant Grant(const TokenAmount& aWanted,
                   Account& aAccount,
                   BootTime aNow);
  /// The part of all nodes that counts here, from 0 to 1.
  double Share() const { return m_weight / static_cast<double>(m_knownNodes); }

  RateSettings m_settings;
  Incarnation m_incarnation;
  std::map<ClientAccountId, Account> m_accounts;
  std::map<MemberKey, Member> m_members;
  std::size_t m_knownNodes = 1;
  std::size_t m_dataCentres = 1;
  /// The sum of the weights of the members that count.
  double m_weight = 0;
  /// The integral over time of Share(), in seconds.
  double m_filled = 0;
  BootTime m_transferAt{};
  PoolCounters m_counters;
};

} // namespace tarragontray
