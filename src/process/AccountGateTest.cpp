#include "process/AccountGate.h"

#include <optional>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <criterion/criterion.h>

#include "process/GuardThread.h"
#include "request/NativeDialect.h"

namespace tarragontray {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr Revision kRevision{ 7 };
constexpr Duration kTimeLeft = 1s;
/// Above the time until a node counts at its coordinator, 1.2 s.
constexpr Duration kLimit = 10s;

CallerAccount
Limited()
{
  CallerAccount account;
  account.m_id = ClientAccountId("north");
  account.m_rate = AccountRate{ CallRate(1), CallCount(3) };
  return account;
}

/// The guard does not tell the port that it got, so one is chosen before.
NetworkAddress
FreeAddress()
{
  asio::io_context context;
  const asio::ip::tcp::acceptor acceptor(
    context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  return { 0x7F000001, acceptor.local_endpoint().port() };
}

/// An entry node's gate and the guard of one other node, over loopback.
class Fixture
{
public:
  explicit Fixture(FreshnessSettings aFreshness)
    : m_links(m_context, m_clock, LinkSettings{})
  {
    GuardThreadSettings guard;
    guard.m_address = m_address;
    guard.m_vm = VmId("guard");
    guard.m_incarnation = Incarnation(1);
    guard.m_dialect = std::make_shared<NativeUpstreamDialect>();
    m_guard = GuardThread::Create(guard, m_clock, m_inFlight, {}).value();
    AccountGateSettings settings;
    settings.m_tokens.m_vm = VmId("entry");
    settings.m_freshness = aFreshness;
    settings.m_onNeedsRead = [this] { ++m_readsAsked; };
    m_gate =
      AccountGate::Create(m_context, m_clock, m_links, m_random, settings)
        .value();
  }

  std::shared_ptr<const AccountsView> MakeView() const
  {
    auto view = std::make_shared<AccountsView>();
    view->m_revision = kRevision;
    view->m_rates = { { Limited().m_id, *Limited().m_rate } };
    const AccountPeer peer{ VmId("guard"), m_address };
    view->m_coordinators = { peer };
    view->m_readers = { peer };
    return view;
  }
  void PublishToBoth()
  {
    auto view = std::make_shared<View>();
    view->m_accounts = MakeView();
    m_guard->Publish(view);
    m_gate->Publish(view->m_accounts);
  }
  /// Runs the gate until aCondition holds. \return whether it did in time.
  template<typename Condition>
  bool RunUntil(Condition aCondition)
  {
    const MonotonicTime end = m_clock.Now() + kLimit;
    bool holds = aCondition();
    while (!holds && m_clock.Now() < end) {
      m_context.restart();
      m_context.run_for(5ms);
      holds = aCondition();
    }
    return holds;
  }
  Admission Admit(const CallerAccount& aAccount)
  {
    std::optional<Admission> result;
    asio::co_spawn(
      m_context,
      [&]() -> asio::awaitable<void> {
        result = co_await m_gate->Admit(aAccount, kTimeLeft);
      },
      asio::detached);
    RunUntil([&] { return result.has_value(); });
    return result.value();
  }

  const NetworkAddress m_address = FreeAddress();
  SystemClock m_clock;
  SeededRandom m_random{ 1 };
  IdleSignal m_inFlight;
  int m_readsAsked = 0;
  std::unique_ptr<GuardThread> m_guard;
  asio::io_context m_context;
  PeerLinks m_links;
  std::shared_ptr<AccountGate> m_gate;
};

} // namespace

// Tokens have to come over the link, and calls beyond them be refused with a
// time at which to retry.
Test(AccountGate, GetsTokensFromTheCoordinatorAndRefusesBeyondThem)
{
  Fixture fixture({});
  fixture.PublishToBoth();
  cr_assert(
    fixture.RunUntil([&] { return fixture.Admit(Limited()).m_isAdmitted; }));
  // The next token comes 0.35 s after the last one, longer than a call waits.
  Admission last;
  for (int i = 0; i < 20 && last.m_isAdmitted; ++i) {
    last = fixture.Admit(Limited());
  }
  cr_assert(!last.m_isAdmitted);
  cr_assert(last.m_retryAfter > Duration::zero());
  cr_assert(last.m_retryAfter <= kTimeLeft / 3);
  CallerAccount unlimited;
  unlimited.m_id = ClientAccountId("south");
  const Admission free = fixture.Admit(unlimited);
  cr_assert(free.m_isAdmitted && !free.m_permit);
}

// Before the first request, no token exists: a call must not pass without one.
Test(AccountGate, RefusesWithoutACoordinator)
{
  Fixture fixture({});
  auto view = std::make_shared<AccountsView>(*fixture.MakeView());
  view->m_coordinators.clear();
  fixture.m_gate->Publish(view);
  const Admission admission = fixture.Admit(Limited());
  cr_assert(!admission.m_isAdmitted);
  cr_assert(admission.m_retryAfter > Duration::zero());
}

// A node has to learn the age from others; when they don't know it either, it
// must ask for a read of its own.
Test(AccountGate, LearnsTheAgeFromOthersOrAsksForARead)
{
  FreshnessSettings freshness;
  freshness.m_limit = 5s;
  Fixture fixture(freshness);
  fixture.PublishToBoth();
  cr_assert(fixture.RunUntil([&] { return fixture.m_readsAsked > 0; }));
  cr_assert(!fixture.m_gate->IsFresh());
  fixture.m_guard->Confirm({ fixture.m_clock.BootNow(), Revision(8) });
  cr_assert(!fixture.m_gate->IsFresh());
  fixture.m_guard->Confirm({ fixture.m_clock.BootNow(), kRevision });
  cr_assert(fixture.RunUntil([&] { return fixture.m_gate->IsFresh(); }));
}

} // namespace tarragontray
