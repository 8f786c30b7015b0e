#include "process/testing/FakeNetwork.h"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <utility>

#include "process/DatagramSize.h"

namespace tarragontray::testing {

namespace {

/// The IPv4 and UDP headers of a datagram.
constexpr std::uint64_t kUdpHeaderBytes = 28;
/// The set-up, acknowledgements and close of a short TCP exchange, in each
/// direction.
constexpr std::uint64_t kTcpExchangeBytes = 200;
constexpr std::uint64_t kTcpHeaderBytes = 40;
constexpr std::uint64_t kTcpSegmentBytes = 1460;
/// The time after which an unanswered connection attempt fails.
constexpr Duration kConnectTimeout = std::chrono::seconds(1);
/// The time after which a platform call fails, and the upper limit of the
/// random delay before the next one.
constexpr Duration kPlatformTimeout = std::chrono::seconds(1);
/// The time after which a watch without changes returns.
constexpr Duration kWatchTime = std::chrono::seconds(20);
constexpr std::size_t kInboxLimit = 256;
/// As in PlatformLoop.
constexpr Duration kStallTimeout = std::chrono::milliseconds(500);
/// How often the simulation looks whether a revision check is due.
constexpr Duration kCheckStep = std::chrono::milliseconds(10);

std::uint64_t
StreamBytes(std::size_t aPayload)
{
  return kTcpExchangeBytes + aPayload +
         kTcpHeaderBytes * (aPayload / kTcpSegmentBytes + 1);
}

} // namespace

FakeNetwork::FakeNetwork(std::uint64_t aSeed, const LinkFaults& aFaults)
  : m_faults(aFaults)
  , m_random(aSeed)
{
}

void
FakeNetwork::AddNodes(const std::string& aDataCentre, std::size_t aCount)
{
  for (std::size_t i = 1; i <= aCount; ++i) {
    Start(aDataCentre + "-" + std::to_string(i), aDataCentre);
  }
}

FakeNode&
FakeNetwork::StartAtNewAddress(const std::string& aVm,
                               const std::string& aDataCentre)
{
  const auto number = static_cast<std::uint32_t>(m_starts + 1);
  Kill(aVm);
  m_byAddress.erase(Node(aVm).m_address);
  Node(aVm).m_address = NetworkAddress(0x0A000000 + number, 7000);
  return Start(aVm, aDataCentre);
}

FakeNode&
FakeNetwork::Start(const std::string& aVm, const std::string& aDataCentre)
{
  std::unique_ptr<FakeNode>& slot = m_nodes[VmId(aVm)];
  const std::uint64_t number = ++m_starts;
  auto node = std::make_unique<FakeNode>(m_random.Next());
  node->m_address =
    slot
      ? slot->m_address
      : NetworkAddress(0x0A000000 + static_cast<std::uint32_t>(number), 7000);
  node->m_dataCentre = DataCentreId(aDataCentre);
  MemberRecord self;
  self.m_vm = VmId(aVm);
  self.m_dataCentre = node->m_dataCentre;
  self.m_cell = m_cell;
  self.m_region = RegionId("r");
  self.m_peerAddress = node->m_address;
  const Duration wall = m_clock.WallNow().time_since_epoch() + m_clockSkew;
  self.m_incarnation = Incarnation(
    static_cast<std::uint64_t>(wall / std::chrono::microseconds(1)) + number);
  std::vector<NetworkAddress> seeds;
  for (const auto& [vm, other] : m_nodes) {
    if (other && (vm.Value().ends_with("-1") || vm.Value().ends_with("-2"))) {
      seeds.push_back(other->m_address);
    }
  }
  Result<Gossip> gossip =
    Gossip::Create(m_settings, self, seeds, node->m_random);
  node->m_gossip = std::make_unique<Gossip>(std::move(gossip.value()));
  if (slot) {
    slot->m_isAlive = false;
    m_ended.push_back(std::move(slot));
  }
  slot = std::move(node);
  m_byAddress[slot->m_address] = slot.get();
  FakeNode& started = *slot;
  After(Delay(), [this, &started] { TickIfRunning(started); });
  return started;
}

void
FakeNetwork::Resume(const std::string& aVm)
{
  FakeNode& node = Node(aVm);
  node.m_isPaused = false;
  TickIfRunning(node);
  for (const auto& [datagram, from] : std::exchange(node.m_inbox, {})) {
    Handle(node, node.m_gossip->Receive(datagram, from, Now()));
  }
}

void
FakeNetwork::Run(Duration aTime)
{
  RunUntil([] { return false; }, aTime);
}

Duration
FakeNetwork::RunUntil(const std::function<bool()>& aCondition, Duration aLimit)
{
  constexpr Duration kStep = std::chrono::milliseconds(10);
  const MonotonicTime start = Now();
  while (Now() - start < aLimit && !aCondition()) {
    const MonotonicTime until = Now() + kStep;
    while (!m_events.empty() && m_events.top().m_time <= until) {
      const Event event = m_events.top();
      m_events.pop();
      m_clock.Advance(std::max(Duration(0), event.m_time - Now()));
      event.m_run();
    }
    m_clock.Advance(until - Now());
  }
  return Now() - start;
}

void
FakeNetwork::Write(const std::string& aKey, const std::string& aBody)
{
  m_platform.Write(aKey, aBody);
  if (m_platform.m_areWatchesSilent) {
    return;
  }
  for (auto& [vm, node] : m_nodes) {
    if (node->m_isWatching) {
      FakeNode& watcher = *node;
      watcher.m_isWatching = false;
      After(Delay(), [this, &watcher] { AnswerPlatform(watcher); });
    }
  }
}

void
FakeNetwork::After(Duration aDelay, std::function<void()> aRun)
{
  m_events.push({ Now() + aDelay, ++m_order, std::move(aRun) });
}

Duration
FakeNetwork::Delay()
{
  const Duration spread = m_faults.m_maxDelay - m_faults.m_minDelay;
  return m_faults.m_minDelay +
         Duration(
           m_random.Below(static_cast<std::uint64_t>(spread.count()) + 1));
}

void
FakeNetwork::Handle(FakeNode& aNode, GossipActions aActions)
{
  for (const OutgoingDatagram& outgoing : aActions.m_send) {
    Transmit(aNode, outgoing);
  }
  if (aActions.m_pull) {
    StartPull(aNode, *aActions.m_pull);
  }
  Check(aNode);
  CallPlatform(aNode);
  Reschedule(aNode);
}

void
FakeNetwork::Transmit(FakeNode& aFrom, const OutgoingDatagram& aOutgoing)
{
  const std::uint64_t bytes =
    EncodedSize(aOutgoing.m_datagram) + kUdpHeaderBytes;
  aFrom.m_bytesSent += bytes;
  FakeNode* to = Find(aOutgoing.m_to);
  if (to == nullptr || IsBlocked(aFrom, *to)) {
    return;
  }
  const int copies = m_random.Fraction() < m_faults.m_duplicate ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (m_random.Fraction() < m_faults.m_loss) {
      continue;
    }
    After(Delay(),
          [this,
           address = aOutgoing.m_to,
           bytes,
           datagram = aOutgoing.m_datagram,
           from = aFrom.m_address] {
            if (FakeNode* receiver = Find(address)) {
              receiver->m_bytesReceived += bytes;
              Deliver(*receiver, datagram, from);
            }
          });
  }
}

void
FakeNetwork::Deliver(FakeNode& aTo,
                     const Datagram& aDatagram,
                     NetworkAddress aFrom)
{
  if (!aTo.m_isAlive) {
    return;
  }
  if (aTo.m_isPaused) {
    if (aTo.m_inbox.size() < kInboxLimit) {
      aTo.m_inbox.emplace_back(aDatagram, aFrom);
    }
    return;
  }
  Handle(aTo, aTo.m_gossip->Receive(aDatagram, aFrom, Now()));
}

void
FakeNetwork::StartPull(FakeNode& aNode, const OutgoingPull& aPull)
{
  FakeNode* peer = Find(aPull.m_peer);
  const bool isReachable = peer != nullptr && peer->m_isAlive &&
                           !peer->m_isPaused && !IsBlocked(aNode, *peer) &&
                           !IsBlocked(*peer, aNode);
  if (!isReachable) {
    After(kConnectTimeout, [this, &aNode] {
      if (aNode.m_isAlive) {
        aNode.m_gossip->FailPull(Now());
        Reschedule(aNode);
      }
    });
    return;
  }
  // Three one-way delays: two for the connection set-up, one for the request.
  After(Delay() + Delay() + Delay(), [this, &aNode, peer, aPull] {
    if (!peer->m_isAlive) {
      return;
    }
    const PullAnswer answer =
      peer->m_gossip->AnswerPull(aPull.m_request, Now());
    const std::uint64_t asked = StreamBytes(EncodedSize(aPull.m_request));
    const std::uint64_t answered = StreamBytes(EncodedSize(answer));
    aNode.m_bytesSent += asked;
    peer->m_bytesReceived += asked;
    peer->m_bytesSent += answered;
    aNode.m_bytesReceived += answered;
    After(Delay(), [this, &aNode, answer] {
      if (aNode.m_isAlive && !aNode.m_isPaused) {
        Handle(aNode, aNode.m_gossip->OfferPull(answer, Now()));
      }
    });
  });
}

void
FakeNetwork::Reschedule(FakeNode& aNode)
{
  const MonotonicTime next = std::max(Now(), aNode.m_gossip->NextTick());
  if (!aNode.m_isAlive || next >= aNode.m_tickAt ||
      next == MonotonicTime::max()) {
    return;
  }
  aNode.m_tickAt = next;
  After(next - Now(), [this, &aNode, next] {
    if (aNode.m_tickAt == next) {
      aNode.m_tickAt = MonotonicTime::max();
      TickIfRunning(aNode);
    }
  });
}

void
FakeNetwork::TickIfRunning(FakeNode& aNode)
{
  if (aNode.m_isAlive && !aNode.m_isPaused) {
    Handle(aNode, aNode.m_gossip->Tick(Now()));
  }
}

void
FakeNetwork::CallPlatform(FakeNode& aNode)
{
  Distribution& documents = aNode.m_gossip->Documents();
  if (aNode.m_isCalling || Now() < aNode.m_callNotBefore ||
      !documents.WantsWatch(Now(), m_watched) ||
      !documents.TakePlatformRead(Now())) {
    return;
  }
  aNode.m_isCalling = true;
  const bool isCut = m_isCutFromPlatform && m_isCutFromPlatform(aNode);
  if (m_platform.m_isDown || isCut) {
    After(kPlatformTimeout, [this, &aNode] {
      aNode.m_isCalling = false;
      aNode.m_callNotBefore =
        Now() + Duration(m_random.Below(
                  static_cast<std::uint64_t>(kPlatformTimeout.count())));
    });
    return;
  }
  ++m_platform.m_calls;
  const Revision after = documents.WatchAfter();
  if (after == Revision(0) || !m_platform.After(after).m_documents.empty()) {
    After(Delay() + Delay(), [this, &aNode] { AnswerPlatform(aNode); });
    return;
  }
  aNode.m_isWatching = true;
  After(kWatchTime, [this, &aNode] {
    if (std::exchange(aNode.m_isWatching, false)) {
      AnswerPlatform(aNode);
    }
  });
}

void
FakeNetwork::AnswerPlatform(FakeNode& aNode)
{
  aNode.m_isCalling = false;
  const bool isCut = m_isCutFromPlatform && m_isCutFromPlatform(aNode);
  if (!aNode.m_isAlive || aNode.m_isPaused || m_platform.m_isDown || isCut) {
    return;
  }
  Distribution& documents = aNode.m_gossip->Documents();
  const FakeListing listing = m_platform.After(documents.WatchAfter());
  documents.OfferFromPlatform(listing.m_documents, listing.m_revision, Now());
  TickIfRunning(aNode);
}

void
FakeNetwork::StartRevisionChecks()
{
  for (auto& [vm, node] : m_nodes) {
    if (node->m_isAlive && !node->m_isPaused) {
      CheckRevision(*node);
      CheckForStall(*node);
    }
  }
  After(kCheckStep, [this] { StartRevisionChecks(); });
}

void
FakeNetwork::CheckRevision(FakeNode& aNode)
{
  const Distribution& documents = aNode.m_gossip->Documents();
  const bool isDue = Now() >= documents.NextRevisionCheck(Now());
  const bool isCut = m_isCutFromPlatform && m_isCutFromPlatform(aNode);
  if (!isDue || aNode.m_isChecking || isCut) {
    return;
  }
  aNode.m_isChecking = true;
  ++m_platform.m_calls;
  After(Delay() + Delay(), [this, &aNode, asOf = Now()] {
    aNode.m_isChecking = false;
    if (!aNode.m_isAlive || aNode.m_isPaused) {
      return;
    }
    if (aNode.m_gossip->Documents().WatchAfter() < m_platform.Latest()) {
      ++m_platform.m_calls;
      AnswerPlatform(aNode);
    }
    aNode.m_gossip->Documents().ConfirmFromPlatform(asOf);
    TickIfRunning(aNode);
  });
}

void
FakeNetwork::CheckForStall(FakeNode& aNode)
{
  const Distribution& documents = aNode.m_gossip->Documents();
  const Revision known =
    std::max(documents.Table().Digest().m_highest, documents.WatchAfter());
  if (!aNode.m_isWatching || aNode.m_gossip->HighestReported() <= known) {
    aNode.m_overtakenAt.reset();
    return;
  }
  aNode.m_overtakenAt = aNode.m_overtakenAt.value_or(Now());
  if (Now() >= *aNode.m_overtakenAt + kStallTimeout) {
    aNode.m_overtakenAt.reset();
    ++m_platform.m_calls;
    AnswerPlatform(aNode);
  }
}

bool
FakeNetwork::IsBlocked(const FakeNode& aFrom, const FakeNode& aTo) const
{
  return m_blocked && m_blocked(aFrom, aTo);
}

FakeNode*
FakeNetwork::Find(const NetworkAddress& aAddress)
{
  const auto found = m_byAddress.find(aAddress);
  return found == m_byAddress.end() ? nullptr : found->second;
}

} // namespace tarragontray::testing
