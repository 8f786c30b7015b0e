#include <algorithm>
#include <array>
#include <memory>
#include <numeric>
#include <utility>
#include <vector>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "process/AccountPool.h"
#include "process/TokenClient.h"

namespace tarragontray {

namespace {

using namespace std::chrono_literals;

const ClientAccountId kAccount("north");
constexpr Duration kStep = 10ms;
constexpr Duration kWindow = 5s;
constexpr Duration kPropagation = 2500ms;
constexpr double kExcess = 1.1;
constexpr double kSlack = 20;
constexpr Duration kMaxWait = 150ms;
constexpr Duration kReplyTimeout = 200ms;

struct FleetSettings
{
  std::size_t m_dataCentres = 3;
  std::size_t m_nodesEach = 3;
  AccountRate m_rate{ CallRate(100), CallCount(30) };
  std::uint64_t m_seed = 1;
};

/// Nodes that exchange messages with a delay of one step, and spend tokens as
/// fast as they get them. Each has its own view of who is coordinator.
class Fleet
{
public:
  explicit Fleet(const FleetSettings& aSettings)
    : m_settings(aSettings)
    , m_random(aSettings.m_seed)
    , m_nodes(aSettings.m_dataCentres * aSettings.m_nodesEach)
    , m_cut(m_nodes.size() * m_nodes.size(), false)
  {
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      // The boot clocks of different VMs have nothing in common.
      m_nodes[i].m_clockOffset = std::chrono::seconds(1000 * (i + 1));
      m_nodes[i].m_rate = aSettings.m_rate;
      Start(i);
    }
  }

  std::size_t Size() const { return m_nodes.size(); }
  void Cut(std::size_t aFrom, std::size_t aTo, bool aIsCut)
  {
    m_cut[aFrom * m_nodes.size() + aTo] = aIsCut;
  }
  void Isolate(std::size_t aNode, bool aIsCut)
  {
    for (std::size_t other = 0; other < m_nodes.size(); ++other) {
      if (other != aNode) {
        Cut(aNode, other, aIsCut);
        Cut(other, aNode, aIsCut);
      }
    }
  }
  void HealAll() { std::fill(m_cut.begin(), m_cut.end(), false); }
  /// Messages sent from now on take this long.
  void SetDelay(Duration aDelay) { m_delay = std::max(aDelay, kStep); }
  void Freeze(std::size_t aNode, Duration aTime)
  {
    m_nodes[aNode].m_frozenUntil = m_now + aTime;
  }
  /// Kills a node; another process starts in its place after aTime.
  void Restart(std::size_t aNode, Duration aTime)
  {
    m_nodes[aNode].m_client.reset();
    m_nodes[aNode].m_startAt = m_now + aTime;
  }
  void SetView(std::size_t aNode, std::size_t aFirst)
  {
    Node& node = m_nodes[aNode];
    node.m_first = aFirst % m_settings.m_nodesEach;
    if (node.m_client) {
      node.m_client->SetCoordinators(RankedFor(aNode), Now(aNode));
    }
  }
  void SetRate(std::size_t aNode, AccountRate aRate)
  {
    m_nodes[aNode].m_rate = aRate;
    if (m_nodes[aNode].m_client) {
      Configure(aNode);
    }
  }
  void SetDemand(std::size_t aNode, std::uint64_t aCallsPerStep)
  {
    m_nodes[aNode].m_demand = aCallsPerStep;
  }

  void Run(Duration aTime)
  {
    for (const Duration end = m_now + aTime; m_now < end; m_now += kStep) {
      m_spent.push_back(0);
      for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        Step(i);
      }
      for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        m_hasCountedTwice |= PlacesOf(i) > 1;
      }
    }
  }

  /// Calls that come at random times and wait for a token for 150 ms.
  void SetCallers(std::size_t aNode, double aCallsPerSecond)
  {
    SetDemand(aNode, 0);
    m_nodes[aNode].m_callsPerSecond = aCallsPerSecond;
  }
  double RefusedPart() const
  {
    return static_cast<double>(m_refused) / static_cast<double>(m_calls);
  }
  void SetAllDemand(std::uint64_t aCallsPerStep)
  {
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
      SetDemand(node, aCallsPerStep);
    }
  }

  Duration Now() const { return m_now; }
  /// Whether a node's share has counted in two places at once.
  bool HasCountedTwice() const { return m_hasCountedTwice; }
  /// The calls in the window that ends at each step, at most.
  std::uint64_t MostInAWindow(Duration aFrom) const
  {
    const auto window = static_cast<std::size_t>(kWindow / kStep);
    const auto from = static_cast<std::size_t>(aFrom / kStep);
    std::uint64_t most = 0;
    for (std::size_t start = from; start < m_spent.size(); ++start) {
      const std::size_t end = std::min(start + window, m_spent.size());
      most = std::max(most, Sum(start, end));
    }
    return most;
  }
  std::uint64_t SpentSince(Duration aFrom) const
  {
    return Sum(static_cast<std::size_t>(aFrom / kStep), m_spent.size());
  }

private:
  struct Node
  {
    Duration m_clockOffset{ 0 };
    Incarnation m_incarnation;
    AccountRate m_rate;
    std::unique_ptr<SeededRandom> m_random;
    std::unique_ptr<TokenClient> m_client;
    std::unique_ptr<AccountPool> m_pool;
    std::size_t m_first = 0;
    Duration m_startAt{ 0 };
    Duration m_frozenUntil{ 0 };
    std::optional<Duration> m_askedAt;
    std::uint64_t m_requestNumber = 0;
    std::uint64_t m_demand = 50;
    double m_callsPerSecond = 0;
    std::deque<Duration> m_calls;
  };
  struct Message
  {
    std::size_t m_from = 0;
    std::size_t m_to = 0;
    Incarnation m_sender;
    Duration m_arrival{ 0 };
    std::optional<LeaseRequest> m_request;
    LeaseReply m_reply;
    std::uint64_t m_number = 0;
    BootTime m_askedAt{};
    bool m_isTransfer = false;
  };

  std::uint64_t Sum(std::size_t aFrom, std::size_t aTo) const
  {
    return std::accumulate(m_spent.begin() + static_cast<std::ptrdiff_t>(aFrom),
                           m_spent.begin() + static_cast<std::ptrdiff_t>(aTo),
                           std::uint64_t{ 0 });
  }
  /// In how many places the node's share counts now.
  int PlacesOf(std::size_t aNode) const
  {
    const Node& self = m_nodes[aNode];
    int places = self.m_client && self.m_client->CountsNowhere(Now(aNode));
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      const Node& node = m_nodes[i];
      places += node.m_client && node.m_pool->Counts(NameOf(aNode), 0, Now(i));
    }
    return places;
  }
  BootTime Now(std::size_t aNode) const
  {
    return BootTime(m_nodes[aNode].m_clockOffset + m_now);
  }
  static VmId NameOf(std::size_t aNode) { return VmId(std::to_string(aNode)); }
  std::size_t DataCentreOf(std::size_t aNode) const
  {
    return aNode / m_settings.m_nodesEach;
  }
  std::vector<VmId> RankedFor(std::size_t aNode) const
  {
    std::vector<VmId> ranked;
    const std::size_t begin = DataCentreOf(aNode) * m_settings.m_nodesEach;
    for (std::size_t i = 0;
         i < std::min<std::size_t>(m_settings.m_nodesEach, 3);
         ++i) {
      ranked.push_back(
        NameOf(begin + (m_nodes[aNode].m_first + i) % m_settings.m_nodesEach));
    }
    return ranked;
  }
  void Configure(std::size_t aNode)
  {
    Node& node = m_nodes[aNode];
    const AccountRates rates{ { kAccount, node.m_rate } };
    node.m_client->SetAccounts(rates, m_nodes.size(), Now(aNode));
    node.m_pool->SetAccounts(
      rates, m_nodes.size(), m_settings.m_dataCentres, Now(aNode));
  }
  void Start(std::size_t aNode)
  {
    Node& node = m_nodes[aNode];
    node.m_incarnation += Incarnation(1);
    node.m_random = std::make_unique<SeededRandom>(m_random.Next());
    TokenClientSettings settings;
    settings.m_vm = NameOf(aNode);
    settings.m_incarnation = node.m_incarnation;
    node.m_client =
      std::make_unique<TokenClient>(settings, *node.m_random, Now(aNode));
    node.m_pool =
      std::make_unique<AccountPool>(RateSettings{}, node.m_incarnation);
    node.m_askedAt.reset();
    Configure(aNode);
    node.m_client->SetCoordinators(RankedFor(aNode), Now(aNode));
  }

  void Step(std::size_t aNode)
  {
    Node& node = m_nodes[aNode];
    if (!node.m_client && m_now >= node.m_startAt) {
      Start(aNode);
    }
    if (!node.m_client || m_now < node.m_frozenUntil) {
      return;
    }
    Receive(aNode);
    if (node.m_askedAt && m_now - *node.m_askedAt > kReplyTimeout) {
      node.m_askedAt.reset();
      node.m_client->OnFailure(Now(aNode));
    }
    Spend(aNode);
    ServeCalls(aNode);
    if (Now(aNode) >= node.m_client->NextRequest()) {
      Message message;
      message.m_request = node.m_client->MakeRequest(Now(aNode));
      message.m_number = ++node.m_requestNumber;
      node.m_askedAt = m_now;
      Send(aNode,
           static_cast<std::size_t>(
             std::stoul(node.m_client->Coordinator()->Value())),
           std::move(message));
    }
    AskOthers(aNode);
  }
  void Spend(std::size_t aNode)
  {
    Node& node = m_nodes[aNode];
    std::uint64_t served = 0;
    for (; served < node.m_demand; ++served) {
      if (!node.m_client->Take(kAccount, Now(aNode))) {
        break;
      }
    }
    for (std::uint64_t i = 0; i < node.m_demand; ++i) {
      node.m_client->AddDemand(kAccount, Now(aNode));
    }
    node.m_client->AddWaiting(kAccount, -1000);
    node.m_client->AddWaiting(kAccount,
                              static_cast<int>(node.m_demand - served));
    m_spent.back() += served;
  }
  void ServeCalls(std::size_t aNode)
  {
    Node& node = m_nodes[aNode];
    if (node.m_callsPerSecond <= 0) {
      return;
    }
    const double perStep =
      node.m_callsPerSecond * std::chrono::duration<double>(kStep).count();
    if (m_random.Fraction() < perStep) {
      ++m_calls;
      node.m_client->AddDemand(kAccount, Now(aNode));
      node.m_calls.push_back(m_now);
    }
    while (!node.m_calls.empty() && node.m_client->Take(kAccount, Now(aNode))) {
      node.m_calls.pop_front();
      ++m_spent.back();
    }
    while (!node.m_calls.empty() && m_now - node.m_calls.front() >= kMaxWait) {
      node.m_calls.pop_front();
      ++m_refused;
    }
    node.m_client->AddWaiting(kAccount, -1000);
    node.m_client->AddWaiting(kAccount, static_cast<int>(node.m_calls.size()));
  }
  void AskOthers(std::size_t aNode)
  {
    Node& node = m_nodes[aNode];
    if (!node.m_pool->WantsTransfer(Now(aNode))) {
      return;
    }
    LeaseRequest request;
    request.m_kind = LeaseKind::Transfer;
    request.m_wanted = node.m_pool->TakeTransferWants(Now(aNode));
    for (std::size_t other = 0; other < m_settings.m_dataCentres; ++other) {
      if (other != DataCentreOf(aNode)) {
        Message message;
        message.m_request = request;
        message.m_askedAt = Now(aNode);
        Send(aNode, other * m_settings.m_nodesEach, std::move(message));
      }
    }
  }
  void Send(std::size_t aFrom, std::size_t aTo, Message aMessage)
  {
    if (m_cut[aFrom * m_nodes.size() + aTo]) {
      return;
    }
    aMessage.m_from = aFrom;
    aMessage.m_to = aTo;
    aMessage.m_sender = m_nodes[aFrom].m_incarnation;
    aMessage.m_arrival = m_now + (aFrom == aTo ? kStep : m_delay);
    m_messages.push_back(std::move(aMessage));
  }
  void Receive(std::size_t aNode)
  {
    std::vector<Message> arrived;
    std::erase_if(m_messages, [&](Message& aMessage) {
      if (aMessage.m_to != aNode || aMessage.m_arrival > m_now) {
        return false;
      }
      arrived.push_back(std::move(aMessage));
      return true;
    });
    for (Message& message : arrived) {
      Handle(aNode, std::move(message));
    }
  }
  void Handle(std::size_t aNode, Message aMessage)
  {
    Node& node = m_nodes[aNode];
    if (aMessage.m_request) {
      Message reply;
      reply.m_isTransfer = aMessage.m_request->m_kind == LeaseKind::Transfer;
      reply.m_reply =
        reply.m_isTransfer
          ? node.m_pool->OnTransferRequest(*aMessage.m_request, Now(aNode))
          : node.m_pool->OnRequest(*aMessage.m_request, Now(aNode));
      reply.m_number = aMessage.m_number;
      reply.m_askedAt = aMessage.m_askedAt;
      // Replies go to the process that asked.
      if (m_nodes[aMessage.m_from].m_incarnation == aMessage.m_sender) {
        Send(aNode, aMessage.m_from, std::move(reply));
      }
      return;
    }
    if (aMessage.m_isTransfer) {
      node.m_pool->OnTransferred(
        aMessage.m_reply, aMessage.m_askedAt, Now(aNode));
    } else if (node.m_askedAt && aMessage.m_number == node.m_requestNumber) {
      node.m_askedAt.reset();
      node.m_client->OnReply(aMessage.m_reply, Now(aNode));
    }
  }

  FleetSettings m_settings;
  SeededRandom m_random;
  std::vector<Node> m_nodes;
  std::vector<bool> m_cut;
  std::vector<Message> m_messages;
  Duration m_now{ 0 };
  Duration m_delay = kStep;
  std::vector<std::uint64_t> m_spent;
  bool m_hasCountedTwice = false;
  std::uint64_t m_calls = 0;
  std::uint64_t m_refused = 0;
};

std::uint64_t
LimitOf(const AccountRate& aRate)
{
  return static_cast<std::uint64_t>(
    (aRate.m_rate.Value() * 5 + static_cast<double>(aRate.m_burst.Value())) *
      kExcess +
    kSlack);
}

AccountRate
AnyRate()
{
  return { CallRate(*rc::gen::element(1, 5, 20, 100, 400)),
           CallCount(static_cast<std::uint64_t>(
             *rc::gen::element(0, 1, 10, 50, 200, 800))) };
}

/// A random event of the fleet.
void
Disturb(Fleet& aFleet)
{
  const auto node = *rc::gen::inRange<std::size_t>(0, aFleet.Size());
  const auto other = *rc::gen::inRange<std::size_t>(0, aFleet.Size());
  const Duration time =
    std::chrono::milliseconds(*rc::gen::inRange(0, 4) * 700);
  const auto demand = *rc::gen::element<std::uint64_t>(0, 1, 50);
  switch (*rc::gen::inRange(0, 12)) {
    case 0:
      aFleet.Cut(node, other, true);
      break;
    case 1:
      aFleet.Isolate(node, true);
      break;
    case 2:
      aFleet.HealAll();
      break;
    case 3:
      aFleet.Freeze(node, time);
      break;
    case 4:
      aFleet.Restart(node, time);
      break;
    case 5:
      // Other members of the data centre keep their view, so that two nodes
      // believe to be coordinator.
      aFleet.SetView(node, other);
      break;
    case 6:
      aFleet.SetDelay(time / 2);
      break;
    case 7:
      aFleet.SetDelay(kStep);
      break;
    case 8:
      aFleet.SetDemand(node, demand);
      break;
    case 9:
      aFleet.SetAllDemand(demand);
      break;
    case 10:
      aFleet.Run(3s);
      break;
    default:
      aFleet.Isolate(node, false);
      break;
  }
}

} // namespace

// A rate that is exceeded in any window breaks the promise of the limit,
// whatever fails: links in one direction, nodes, frozen processes that find old
// messages, late messages, two coordinators.
Test(Accounts, SpentTokensNeverExceedTheLimit)
{
  const bool holds = rc::check([] {
    FleetSettings settings;
    settings.m_rate = AnyRate();
    settings.m_seed = *rc::gen::arbitrary<std::uint64_t>();
    Fleet fleet(settings);
    const auto events = *rc::gen::inRange(0, 40);
    for (int i = 0; i < events; ++i) {
      fleet.Run(std::chrono::milliseconds(*rc::gen::inRange(0, 12) * 100));
      Disturb(fleet);
    }
    fleet.Run(3s);
    RC_ASSERT(fleet.MostInAWindow(0s) <= LimitOf(settings.m_rate));
    RC_ASSERT(!fleet.HasCountedTwice());
  });
  cr_assert(holds);
}

// A lowered limit binds one window after the nodes have learned it, also while
// coordinators change.
Test(Accounts, LoweredLimitBindsOneWindowAfterPropagation)
{
  const bool holds = rc::check([] {
    FleetSettings settings;
    settings.m_rate = { CallRate(400), CallCount(800) };
    settings.m_seed = *rc::gen::arbitrary<std::uint64_t>();
    Fleet fleet(settings);
    fleet.Run(4s);
    const AccountRate lowered{ CallRate(20), CallCount(10) };
    const Duration start = fleet.Now();
    for (std::size_t node = 0; node < fleet.Size(); ++node) {
      fleet.SetView(node, *rc::gen::inRange<std::size_t>(0, fleet.Size()));
      fleet.SetRate(node, lowered);
      fleet.Run(std::chrono::milliseconds(*rc::gen::inRange(0, 27) * 10));
    }
    RC_ASSERT(fleet.Now() - start <= kPropagation);
    fleet.Run(kPropagation - (fleet.Now() - start) + kWindow);
    const Duration binding = fleet.Now();
    fleet.Run(7s);
    RC_ASSERT(fleet.MostInAWindow(binding) <= LimitOf(lowered));
  });
  cr_assert(holds);
}

// After an idle time each pool holds its part of the burst, not the whole.
Test(Accounts, BurstAfterAnIdleTimeStaysWithinTheLimit)
{
  FleetSettings settings;
  settings.m_rate = { CallRate(20), CallCount(300) };
  Fleet fleet(settings);
  fleet.SetAllDemand(0);
  fleet.Run(30s);
  fleet.SetAllDemand(50);
  fleet.Run(5s);
  cr_assert_leq(fleet.MostInAWindow(0s), LimitOf(settings.m_rate));
  cr_assert_geq(fleet.MostInAWindow(0s), 360U);
}

// Tokens that other data centres give must be missing there.
Test(Accounts, TransferredTokensAreNotSpentTwice)
{
  FleetSettings settings;
  settings.m_rate = { CallRate(10), CallCount(300) };
  Fleet fleet(settings);
  fleet.SetAllDemand(0);
  fleet.Run(30s);
  fleet.SetDemand(4, 50);
  fleet.Run(1s);
  fleet.SetAllDemand(50);
  fleet.Run(4s);
  cr_assert_leq(fleet.MostInAWindow(0s), LimitOf(settings.m_rate));
}

// 77 nodes that lose all links at once have 77 buckets of at least one token.
// The random start keeps their first tokens apart.
Test(Accounts, NodesIsolatedAtOnceStayWithinTheLimit)
{
  for (const double rate : { 2.0, 10.0, 60.0 }) {
    FleetSettings settings;
    settings.m_dataCentres = 4;
    settings.m_nodesEach = 19;
    settings.m_rate = { CallRate(rate), CallCount(10) };
    Fleet fleet(settings);
    fleet.Run(4s);
    for (std::size_t node = 0; node < fleet.Size(); ++node) {
      fleet.Isolate(node, true);
    }
    fleet.Run(60s);
    cr_assert_leq(fleet.MostInAWindow(0s), LimitOf(settings.m_rate));
  }
}

// Tokens that don't follow demand are lost value: one node with all callers of
// an account must get nearly the whole rate.
Test(Accounts, TokensFollowDemandToOneNode)
{
  for (const double rate : { 5.0, 40.0, 200.0 }) {
    FleetSettings settings;
    settings.m_rate = { CallRate(rate),
                        CallCount(static_cast<std::uint64_t>(rate)) };
    Fleet fleet(settings);
    for (std::size_t node = 0; node < fleet.Size(); ++node) {
      fleet.SetDemand(node, node == 4 ? 10 : 0);
    }
    fleet.Run(4s);
    const Duration start = fleet.Now();
    fleet.Run(10s);
    cr_assert_geq(static_cast<double>(fleet.SpentSince(start)),
                  0.9 * 10 * rate,
                  "rate %f, %lu calls",
                  rate,
                  static_cast<unsigned long>(fleet.SpentSince(start)));
  }
}

// Calls that are refused below the limit are lost value: the callers of a small
// account are at one or two of many nodes.
Test(Accounts, CallsBelowTheRateAreServed)
{
  for (const double rate : { 3.0, 10.0, 60.0 }) {
    FleetSettings settings;
    settings.m_dataCentres = 4;
    settings.m_nodesEach = 19;
    settings.m_rate = { CallRate(rate),
                        CallCount(static_cast<std::uint64_t>(rate)) };
    Fleet fleet(settings);
    fleet.SetAllDemand(0);
    fleet.Run(4s);
    fleet.SetCallers(3, rate * 0.4);
    fleet.SetCallers(25, rate * 0.3);
    fleet.Run(60s);
    cr_assert_lt(fleet.RefusedPart(),
                 0.02,
                 "rate %f: %f refused",
                 rate,
                 fleet.RefusedPart());
  }
}

// A killed coordinator must not stop the calls of its data centre for long.
Test(Accounts, TokensAreGrantedAgainAfterTheCoordinatorIsKilled)
{
  Fleet fleet({});
  fleet.Run(4s);
  fleet.Restart(0, 60s);
  fleet.Run(2s);
  const Duration start = fleet.Now();
  fleet.Run(5s);
  cr_assert_geq(fleet.SpentSince(start), 400U);
}

// An isolated node serves with its own share, and with no more.
Test(Accounts, IsolatedNodeUsesItsOwnShare)
{
  Fleet fleet({});
  for (std::size_t node = 0; node < fleet.Size(); ++node) {
    fleet.SetDemand(node, node == 4 ? 10 : 0);
  }
  fleet.Isolate(4, true);
  fleet.Run(4s);
  const Duration start = fleet.Now();
  fleet.Run(9s);
  const std::uint64_t spent = fleet.SpentSince(start);
  cr_assert(spent >= 90 && spent <= 106);
}

// Idle accounts must cost no bytes, and a token of a call that has not run must
// not be lost, nor outlive the one that was granted.
Test(TokenClient, AsksOnlyForAccountsInDemandAndTakesTokensBack)
{
  SeededRandom random(1);
  BootTime now{ 100s };
  TokenClientSettings settings;
  settings.m_vm = VmId("a");
  TokenClient client(settings, random, now);
  client.SetAccounts({ { kAccount, { CallRate(10), CallCount(5) } } }, 1, now);
  client.SetCoordinators({ VmId("a") }, now);
  cr_assert(client.MakeRequest(now).m_wanted.empty());
  LeaseReply reply;
  reply.m_granted.push_back(
    { .m_account = kAccount, .m_tokens = Tokens(kTokensPerCall) });
  client.OnReply(reply, now);
  const auto permit = client.Take(kAccount, now);
  cr_assert(permit && !client.Take(kAccount, now));
  client.Return(kAccount, *permit, now);
  cr_assert(client.Take(kAccount, now));
  client.Return(kAccount, *permit, now + 400ms);
  cr_assert(!client.Take(kAccount, now + 400ms));
}

} // namespace tarragontray
