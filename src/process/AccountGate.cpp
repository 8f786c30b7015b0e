#include "process/AccountGate.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "process/Log.h"

namespace tarragontray {

namespace asio = boost::asio;

namespace {

constexpr char kPart[] = "accounts";
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/// Far above a round trip within a data centre, and short enough that a
/// coordinator that does not answer is replaced within 400 ms.
constexpr Duration kAskTimeout = std::chrono::milliseconds(200);
/// Time between two requests for the age only, with and without recent calls.
constexpr Duration kAgeInterval = std::chrono::milliseconds(300);
constexpr Duration kIdleAgeInterval = std::chrono::seconds(1);
constexpr Duration kIdleAfter = std::chrono::seconds(5);
/// A call waits for a token at most this long, and at most for this part of the
/// time that it has left.
constexpr Duration kMaxWait = std::chrono::milliseconds(150);
constexpr int kMaxWaitPart = 4;
/// Added to the time over which refused callers return, for each call that
/// comes beyond one for a token.
constexpr Duration kRetrySpread = std::chrono::milliseconds(200);
/// Callers wait at most this part of the time that they have left.
constexpr int kMaxRetryPart = 3;
constexpr Duration kReadInterval = std::chrono::seconds(1);
constexpr Duration kReadJitter = std::chrono::milliseconds(300);
/// By then the next request for the age has been answered.
constexpr Duration kStaleRetry = std::chrono::milliseconds(300);

Duration
Scaled(Duration aDuration, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aDuration * aFactor);
}

} // namespace

Result<std::shared_ptr<AccountGate>>
AccountGate::Create(asio::io_context& aContext,
                    const Clock& aClock,
                    PeerLinks& aLinks,
                    Random& aRandom,
                    const AccountGateSettings& aSettings)
{
  BOOST_OUTCOME_TRY(auto lease, FreshnessLease::Create(aSettings.m_freshness));
  return std::shared_ptr<AccountGate>(
    new AccountGate(aContext, aClock, aLinks, aRandom, aSettings, lease));
}

AccountGate::AccountGate(asio::io_context& aContext,
                         const Clock& aClock,
                         PeerLinks& aLinks,
                         Random& aRandom,
                         const AccountGateSettings& aSettings,
                         const FreshnessLease& aLease)
  : m_context(aContext)
  , m_clock(aClock)
  , m_links(aLinks)
  , m_random(aRandom)
  , m_settings(aSettings)
  , m_lease(aLease)
  , m_tokens(aSettings.m_tokens, aRandom, aClock.BootNow())
  , m_timer(aContext)
{
}

void
AccountGate::Publish(std::shared_ptr<const AccountsView> aView)
{
  const BootTime now = m_clock.BootNow();
  m_view = std::move(aView);
  m_lease.SetUsed(m_view ? m_view->m_revision : Revision(0));
  std::vector<VmId> ranked;
  if (m_view) {
    for (const AccountPeer& peer : m_view->m_coordinators) {
      ranked.push_back(peer.m_vm);
    }
  }
  m_tokens.SetAccounts(m_view ? m_view->m_rates : AccountRates{},
                       m_view ? m_view->m_knownNodes : 1,
                       now);
  m_tokens.SetCoordinators(std::move(ranked), now);
  LogChanges();
  Schedule();
}

void
AccountGate::Confirm(const Confirmation& aConfirmation)
{
  m_lease.Confirm(aConfirmation);
}

void
AccountGate::LogChanges()
{
  const VmId* coordinator = m_tokens.Coordinator();
  if (coordinator != nullptr && m_tokens.HasAccounts() &&
      *coordinator != m_loggedCoordinator) {
    m_loggedCoordinator = *coordinator;
    Log(LogLevel::Info,
        kPart,
        "Token coordinator chosen.",
        { { "coordinator", coordinator->Value() } });
  }
  const BootTime now = m_clock.BootNow();
  const bool isFresh = !m_view || m_lease.IsFresh(now);
  if (isFresh != std::exchange(m_isLoggedFresh, isFresh)) {
    const std::optional<Duration> age = m_lease.Age(now);
    Log(isFresh ? LogLevel::Info : LogLevel::Warning,
        kPart,
        "Confirmation of accounts changed.",
        { { "fresh", isFresh ? "yes" : "no" },
          { "revision",
            m_view ? std::to_string(m_view->m_revision.Value()) : "none" },
          { "age_ms", age ? Milliseconds(*age) : "none" } });
  }
}

bool
AccountGate::IsFresh()
{
  m_calledAt = m_clock.BootNow();
  return m_lease.IsFresh(m_calledAt);
}

Duration
AccountGate::RetryWhenStale()
{
  return Scaled(kStaleRetry, 1 + m_random.Fraction());
}

asio::awaitable<Admission>
AccountGate::Admit(CallerAccount aAccount, Duration aTimeLeft)
{
  const auto self = shared_from_this();
  m_calledAt = m_clock.BootNow();
  Admission admission;
  if (!m_tokens.IsLimited(aAccount.m_id)) {
    // The account's rate may have been removed in a newer version than that of
    // the call, which can't be told from one without a rate.
    co_return admission;
  }
  m_tokens.AddDemand(aAccount.m_id, m_calledAt);
  admission.m_permit = m_tokens.Take(aAccount.m_id, m_calledAt);
  if (admission.m_permit) {
    co_return admission;
  }
  m_tokens.AddWaiting(aAccount.m_id, 1);
  Schedule();
  const BootTime end =
    m_calledAt + std::min(kMaxWait, aTimeLeft / kMaxWaitPart);
  const auto timer = std::make_shared<asio::steady_timer>(m_context);
  const auto entry = m_waiting.insert(m_waiting.end(), timer);
  while (!admission.m_permit && m_clock.BootNow() < end) {
    timer->expires_after(end - m_clock.BootNow());
    co_await timer->async_wait(kAwait);
    admission.m_permit = m_tokens.Take(aAccount.m_id, m_clock.BootNow());
  }
  m_waiting.erase(entry);
  m_tokens.AddWaiting(aAccount.m_id, -1);
  if (!admission.m_permit) {
    admission.m_isAdmitted = false;
    admission.m_retryAfter = RetryAfter(aAccount.m_id, aTimeLeft);
  }
  co_return admission;
}

Duration
AccountGate::RetryAfter(const ClientAccountId& aAccount, Duration aTimeLeft)
{
  const BootTime now = m_clock.BootNow();
  const Duration next = m_tokens.TimeToNext(aAccount, now);
  // The next token is not for all refused callers. The more there are, the
  // longer is the time over which they return.
  const Duration spread =
    next + Scaled(kRetrySpread, m_tokens.Pressure(aAccount, now) - 1);
  return std::min(next + Scaled(spread, m_random.Fraction()),
                  aTimeLeft / kMaxRetryPart);
}

void
AccountGate::Return(const CallerAccount& aAccount, const Admission& aAdmission)
{
  if (aAdmission.m_permit) {
    m_tokens.Return(aAccount.m_id, *aAdmission.m_permit, m_clock.BootNow());
  }
}

BootTime
AccountGate::NextAsk() const
{
  if (m_isAsking || !IsActive()) {
    return BootTime::max();
  }
  const bool isIdle = m_clock.BootNow() - m_calledAt > kIdleAfter;
  const BootTime forAge =
    m_lease.IsStrict() ? m_askedAt + (isIdle ? kIdleAgeInterval : kAgeInterval)
                       : BootTime::max();
  const BootTime next = std::min(m_tokens.NextRequest(), forAge);
  // Also when a request ended at once, nothing is sent without a pause.
  return next == BootTime::max()
           ? next
           : std::max(next, m_askedAt + m_settings.m_tokens.m_minInterval);
}

void
AccountGate::Schedule()
{
  const BootTime next = NextAsk();
  if (next == BootTime::max() || (m_scheduled && *m_scheduled <= next)) {
    return;
  }
  m_scheduled = next;
  m_timer.expires_after(std::max(next - m_clock.BootNow(), Duration(0)));
  m_timer.async_wait([weak = weak_from_this()](const auto& aError) {
    const auto self = weak.lock();
    if (!aError && self) {
      self->m_scheduled.reset();
      self->Ask();
    }
  });
}

void
AccountGate::Ask()
{
  if (m_clock.BootNow() < NextAsk()) {
    Schedule();
    return;
  }
  m_isAsking = true;
  asio::co_spawn(
    m_context,
    [self = shared_from_this()] { return self->AskCoordinator(); },
    asio::detached);
}

const AccountPeer*
AccountGate::FindCoordinator() const
{
  const VmId* vm = m_tokens.Coordinator();
  if (!m_view || vm == nullptr) {
    return nullptr;
  }
  const auto found =
    std::find_if(m_view->m_coordinators.begin(),
                 m_view->m_coordinators.end(),
                 [&](const AccountPeer& aPeer) { return aPeer.m_vm == *vm; });
  return found == m_view->m_coordinators.end() ? nullptr : &*found;
}

asio::awaitable<void>
AccountGate::AskCoordinator()
{
  const auto self = shared_from_this();
  const AccountPeer* coordinator = FindCoordinator();
  m_askedAt = m_clock.BootNow();
  const bool hasTokens = m_tokens.HasAccounts() && coordinator != nullptr;
  if (coordinator != nullptr) {
    const auto link = m_links.Get(coordinator->m_address);
    LeaseRequest request =
      hasTokens ? m_tokens.MakeRequest(m_askedAt) : LeaseRequest();
    request.m_configuration = m_view->m_revision;
    const Exchange<LeaseReply> exchange =
      co_await link->Lease(std::move(request), kAskTimeout);
    const auto* reply = std::get_if<LeaseReply>(&exchange);
    if (reply != nullptr) {
      AdoptAge(*reply, m_askedAt);
    }
    if (hasTokens && reply != nullptr) {
      m_tokens.OnReply(*reply, m_clock.BootNow());
    } else if (hasTokens) {
      m_tokens.OnFailure(m_clock.BootNow());
    }
  }
  m_isAsking = false;
  WakeWaiting();
  LogChanges();
  AskReaders();
  Schedule();
}

void
AccountGate::AdoptAge(const LeaseReply& aReply, BootTime aAskedAt)
{
  if (!aReply.m_age) {
    return;
  }
  const auto before = m_lease.Last();
  m_lease.Confirm({ aAskedAt - *aReply.m_age, aReply.m_confirmed });
  if (m_lease.Last() != before && m_settings.m_onConfirmed) {
    m_settings.m_onConfirmed(*m_lease.Last());
  }
}

void
AccountGate::AskReaders()
{
  const VmId* coordinator = m_tokens.Coordinator();
  const bool isCoordinator =
    coordinator != nullptr && *coordinator == m_settings.m_tokens.m_vm;
  if (!m_view || !m_lease.IsStrict() || m_askedReaders > 0 ||
      !m_lease.NeedsReaders(m_clock.BootNow(), isCoordinator)) {
    return;
  }
  for (const AccountPeer& reader : m_view->m_readers) {
    // This node's control thread tells its own confirmations by itself.
    if (reader.m_vm == m_settings.m_tokens.m_vm) {
      continue;
    }
    ++m_askedReaders;
    asio::co_spawn(
      m_context,
      [self = shared_from_this(), link = m_links.Get(reader.m_address)] {
        return self->AskReader(link);
      },
      asio::detached);
  }
  if (m_askedReaders == 0) {
    OnReadersAsked();
  }
}

asio::awaitable<void>
AccountGate::AskReader(std::shared_ptr<PeerLink> aLink)
{
  const auto self = shared_from_this();
  const BootTime askedAt = m_clock.BootNow();
  const Exchange<LeaseReply> exchange =
    co_await aLink->Lease(LeaseRequest(), kAskTimeout);
  if (const auto* reply = std::get_if<LeaseReply>(&exchange)) {
    AdoptAge(*reply, askedAt);
  }
  if (--m_askedReaders == 0) {
    OnReadersAsked();
  }
}

void
AccountGate::OnReadersAsked()
{
  const BootTime now = m_clock.BootNow();
  if (!m_lease.NeedsOwnRead(now) || now < m_mayReadAt ||
      !m_settings.m_onNeedsRead) {
    return;
  }
  m_mayReadAt = now + kReadInterval + Scaled(kReadJitter, m_random.Fraction());
  m_settings.m_onNeedsRead();
}

void
AccountGate::WakeWaiting()
{
  for (const auto& timer : m_waiting) {
    timer->cancel();
  }
}

} // namespace tarragontray
