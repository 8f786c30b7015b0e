/// \file
/// Decides at an entry node whether a call with an API key may be made: whether
/// the configuration is confirmed, and whether there is a token for the call's
/// account. It exchanges the messages for that with other nodes.
///
///     auto gate = AccountGate::Create(context, clock, links, random,
///     settings); gate.value()->Publish(view); if (!gate.value()->IsFresh()) {
///     refuse } Admission admission =
///       co_await gate.value()->Admit(account, aTimeLeft);
///     gate.value()->Return(account, admission);  // after a call did not run
///
/// Thread safety: belongs to one front thread.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/Clock.h"
#include "base/Random.h"
#include "base/Result.h"
#include "connection/PeerLink.h"
#include "process/FreshnessLease.h"
#include "process/TokenClient.h"
#include "process/View.h"
#include "version/Configuration.h"

namespace tarragontray {

struct AccountGateSettings
{
  TokenClientSettings m_tokens;
  FreshnessSettings m_freshness;
  /// Receives each later confirmation that counts. May be empty.
  std::function<void(const Confirmation&)> m_onConfirmed;
  /// Asks for a read of the store's revision by this node. May be empty.
  std::function<void()> m_onNeedsRead;
};

/// The result of AccountGate::Admit.
struct Admission
{
  bool m_isAdmitted = true;
  /// When the caller should try again.
  Duration m_retryAfter{ 0 };
  /// Not set when the account has no rate.
  std::optional<Permit> m_permit;
};

/// See the file comment.
class AccountGate : public std::enable_shared_from_this<AccountGate>
{
public:
  /// Errors: InvalidArgument, from the revocation limit. aClock, aLinks and
  /// aRandom must outlive the handlers of aContext.
  static Result<std::shared_ptr<AccountGate>> Create(
    boost::asio::io_context& aContext,
    const Clock& aClock,
    PeerLinks& aLinks,
    Random& aRandom,
    const AccountGateSettings& aSettings);

  /// Uses the accounts of a new view; null: none, so that nothing is sent.
  void Publish(std::shared_ptr<const AccountsView> aView);
  /// Adopts a confirmation that another thread of this node has received.
  void Confirm(const Confirmation& aConfirmation);
  /// Whether calls with an API key may be served.
  bool IsFresh();
  /// When callers should try again after IsFresh() was false.
  Duration RetryWhenStale();
  /// Spends a token, and waits for one for a short time if there is none.
  /// \param aTimeLeft until the call's deadline.
  boost::asio::awaitable<Admission> Admit(CallerAccount aAccount,
                                          Duration aTimeLeft);
  /// Gives back the token of a call that has certainly not run.
  void Return(const CallerAccount& aAccount, const Admission& aAdmission);

private:
  AccountGate(boost::asio::io_context& aContext,
              const Clock& aClock,
              PeerLinks& aLinks,
              Random& aRandom,
              const AccountGateSettings& aSettings,
              const FreshnessLease& aLease);

  bool IsActive() const
  {
    return m_view && (m_tokens.HasAccounts() || m_lease.IsStrict());
  }
  Duration RetryAfter(const ClientAccountId& aAccount, Duration aTimeLeft);
  BootTime NextAsk() const;
  /// Sets the timer to the next request.
  void Schedule();
  void Ask();
  boost::asio::awaitable<void> AskCoordinator();
  const AccountPeer* FindCoordinator() const;
  void AdoptAge(const LeaseReply& aReply, BootTime aAskedAt);
  void AskReaders();
  boost::asio::awaitable<void> AskReader(std::shared_ptr<PeerLink> aLink);
  void OnReadersAsked();
  void WakeWaiting();
  /// Logs when the coordinator or the freshness has changed.
  void LogChanges();

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  PeerLinks& m_links;
  Random& m_random;
  AccountGateSettings m_settings;
  FreshnessLease m_lease;
  TokenClient m_tokens;
  std::shared_ptr<const AccountsView> m_view;
  boost::asio::steady_timer m_timer;
  std::optional<BootTime> m_scheduled;
  /// Calls that wait for a token, in the order of their arrival.
  std::list<std::shared_ptr<boost::asio::steady_timer>> m_waiting;
  bool m_isAsking = false;
  std::size_t m_askedReaders = 0;
  BootTime m_askedAt{};
  BootTime m_calledAt{};
  /// As logged last.
  VmId m_loggedCoordinator;
  bool m_isLoggedFresh = true;
  /// The earliest time of the next own read of the store's revision.
  BootTime m_mayReadAt{};
};

} // namespace tarragontray
