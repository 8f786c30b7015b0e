#include "process/PlatformLoop.h"

#include <deque>

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

#include "process/StatusJson.h"
#include "version/ConfigurationJson.h"
#include "version/ObjectKeys.h"

namespace tarragontray {

namespace {

using namespace std::chrono_literals;

/// How long a watch may be behind peers without a byte.
constexpr Duration kStallTime = 500ms;

/// The revision of this node's entry when nodes are listed.
constexpr Revision kEntryRevision{ 8 };

/// Time from a change at the platform until it is in force on every node.
constexpr Duration kPropagationBound = 2s;

/// The calls that the platform has received; they stay pending until the test
/// answers them.
struct PlatformScript
{
  std::deque<Platform::Callback<PlatformListing>> m_lists;
  std::deque<Platform::Callback<PlatformListing>> m_watches;
  std::deque<PlatformWrite> m_writes;
  std::deque<Platform::Callback<Revision>> m_written;
  std::vector<Duration> m_waits;
  int m_dropped = 0;
  ByteCount m_watchedBytes;
  /// The platform's revision, whatever the watches report.
  Revision m_revision{ 5 };
  int m_revisionReads = 0;
};

class ScriptedPlatform final : public Platform
{
public:
  explicit ScriptedPlatform(PlatformScript& aScript)
    : m_script(aScript)
  {
  }

  void Read(ObjectKey /*aKey*/, Callback<PlatformObject> /*aDone*/) override {}
  void List(std::string /*aPrefix*/, Callback<PlatformListing> aDone) override
  {
    m_script.m_lists.push_back(std::move(aDone));
  }
  void Write(PlatformWrite aWrite, Callback<Revision> aDone) override
  {
    m_script.m_writes.push_back(std::move(aWrite));
    m_script.m_written.push_back(std::move(aDone));
  }
  void Watch(std::string /*aPrefix*/,
             Revision /*aAfter*/,
             Duration aMaxWait,
             Callback<PlatformListing> aDone) override
  {
    m_script.m_waits.push_back(aMaxWait);
    m_script.m_watches.push_back(std::move(aDone));
  }
  void ReadRevision(Callback<Revision> aDone) override
  {
    ++m_script.m_revisionReads;
    aDone(m_script.m_revision);
  }
  void DropWatches() override
  {
    ++m_script.m_dropped;
    m_script.m_watches.clear();
  }
  ByteCount WatchedBytes() const override { return m_script.m_watchedBytes; }

private:
  PlatformScript& m_script;
};

Document
Parameters(std::uint64_t aRevision, const std::string& aBody = "{}")
{
  return { ConfigurationKey(ClientAccountId("a")), Revision(aRevision), aBody };
}

/// A node without peers that watches the platform.
class WatchingNode
{
public:
  explicit WatchingNode(
    bool aIsRegistered = false,
    const std::vector<WatchedPrefix>& aPrefixes = { { "configurations/" } })
    : m_random(1)
  {
    ControlSettings control;
    control.m_self.m_vm = VmId("vm-1");
    control.m_self.m_dataCentre = DataCentreId("dc");
    control.m_self.m_peerAddress = NetworkAddress(0x7F000001, 7000);
    control.m_gossip.m_membership.m_relaySettleTime = Duration(0);
    control.m_gossip.m_distribution.m_defersUntilSpread = false;
    control.m_gossip.m_distribution.m_platformReads = 1000;
    control.m_gossip.m_distribution.m_platformBurst = 1000;
    m_core = ControlCore::Create(control, m_decoder, m_random).value();
    PlatformLoopSettings settings;
    settings.m_prefixes = aPrefixes;
    if (aIsRegistered) {
      settings.m_registered = control.m_self;
    }
    std::vector<std::unique_ptr<Platform>> platforms;
    platforms.push_back(std::make_unique<ScriptedPlatform>(m_script));
    m_loop = PlatformLoop::Create(
               m_context,
               settings,
               std::move(platforms),
               m_clock,
               *m_core,
               m_random,
               [this](const ControlActions&) { Check(); },
               [this](BootTime aAsOf) { m_confirmedAt.push_back(aAsOf); })
               .value();
    m_core->OnTick(Now());
    Check();
  }

  Times Now() const { return { m_clock.Now(), m_clock.WallNow() }; }
  void Check() { m_loop->Check(); }
  /// \return the time that passed: longer than aTime if this process was not
  /// scheduled in between.
  Duration RunFor(Duration aTime)
  {
    const MonotonicTime start = m_clock.Now();
    m_context.restart();
    m_context.run_for(aTime);
    return m_clock.Now() - start;
  }
  void ExpectNoDropBeforeStallTime()
  {
    const Duration passed = RunFor(200ms);
    cr_assert(passed >= kStallTime || m_script.m_dropped == 0,
              "dropped after %lld ms",
              static_cast<long long>(passed / 1ms));
  }

  void AnswerList(std::uint64_t aRevision)
  {
    Take(m_script.m_lists)(PlatformListing{ {}, Revision(aRevision) });
  }
  void AnswerWatch(std::uint64_t aRevision,
                   const std::vector<Document>& aChanges = {})
  {
    PlatformListing listing{ {}, Revision(aRevision) };
    for (const Document& change : aChanges) {
      listing.m_objects.emplace_back().m_document = change;
    }
    Take(m_script.m_watches)(listing);
  }
  void FailWatch()
  {
    Take(m_script.m_watches)(
      Error(ErrorCode::Closed, "platform.watch", "", "reset"));
  }
  void FailList()
  {
    Take(m_script.m_lists)(
      Error(ErrorCode::Closed, "platform.list", "", "reset"));
  }
  /// Delivers a document as the answer to a pull from a peer.
  void ReceiveFromPeer(const Document& aDocument)
  {
    PullAnswer answer;
    answer.m_documents.push_back(aDocument);
    m_core->OnPullAnswer(answer, Now());
    Check();
  }

  /// Delivers a datagram from a peer whose highest revision is aRevision.
  void ReceiveDigest(std::uint64_t aRevision)
  {
    Datagram datagram;
    datagram.m_from = VmId("vm-2");
    MemberRecord& peer = datagram.m_members.emplace_back();
    peer.m_vm = datagram.m_from;
    peer.m_dataCentre = DataCentreId("dc");
    peer.m_cell = DataCentreId("dc");
    peer.m_incarnation = Incarnation(1);
    peer.m_peerAddress = NetworkAddress(0x7F000001, 7001);
    datagram.m_digest.emplace().m_documents.m_highest = Revision(aRevision);
    m_core->OnDatagram(datagram, peer.m_peerAddress, Now());
    Check();
  }

  /// Answers the registration with a conflict, as if a previous process of the
  /// VM had written its entry.
  void RejectRegistration()
  {
    m_script.m_written.back()(
      Error(ErrorCode::Conflict, "platform.write", "", "status 409"));
  }
  /// Answers the latest list of nodes with an entry for this node.
  void AnswerNodes(const std::string& aAddress, const std::string& aMore)
  {
    cr_assert(!m_script.m_lists.empty());
    const auto done = std::move(m_script.m_lists.back());
    m_script.m_lists.pop_back();
    PlatformObject own;
    own.m_document.m_key = NodeKey(VmId("vm-1"));
    own.m_document.m_revision = kEntryRevision;
    own.m_document.m_body =
      R"({"vm": "vm-1", "peer_address": ")" + aAddress + R"(")" + aMore + "}";
    done(PlatformListing{ { own }, Revision(9) });
    Check();
  }
  void Depart(const UpstreamProcess& aProcess)
  {
    UpstreamReport report;
    report.m_isLeave = true;
    report.m_place.m_instance = aProcess.m_instance;
    report.m_birth = aProcess.m_birth;
    m_core->OnUpstreamReport(report, Now());
    Check();
  }
  const DepartedUpstreams& Departed() const { return m_core->Departed(); }

  BootTime BootNow() const { return m_clock.BootNow(); }
  void CheckRevisionNow() { m_loop->CheckRevisionNow(); }

  PlatformScript m_script;
  /// The times of the confirmations.
  std::vector<BootTime> m_confirmedAt;

private:
  template<typename T>
  static T Take(std::deque<T>& aQueue)
  {
    cr_assert(!aQueue.empty());
    T first = std::move(aQueue.front());
    aQueue.pop_front();
    return first;
  }

  boost::asio::io_context m_context{ 1 };
  SystemClock m_clock;
  SeededRandom m_random;
  JsonConfigurationDecoder m_decoder;
  std::unique_ptr<ControlCore> m_core;
  std::unique_ptr<PlatformLoop> m_loop;
};

} // namespace

Test(PlatformLoop, DropsAWatchThatFallsBehindPeers)
{
  WatchingNode node;
  node.AnswerList(5);
  cr_assert_eq(node.m_script.m_watches.size(), 1);
  node.ReceiveFromPeer(Parameters(9));
  node.ExpectNoDropBeforeStallTime();
  node.RunFor(600ms);
  cr_assert_eq(node.m_script.m_dropped, 1);
  // The node lists the current documents rather than watching from its last
  // revision.
  cr_assert_eq(node.m_script.m_watches.size(), 0);
  cr_assert_eq(node.m_script.m_lists.size(), 1);
}

/// Waiting for the pull of the peer's documents exceeds the propagation bound.
Test(PlatformLoop, WatchWithoutAnswersIsKeptAlthoughAPeerIsAhead)
{
  WatchingNode node;
  node.AnswerList(5);
  node.ReceiveDigest(9);
  node.ExpectNoDropBeforeStallTime();
  node.RunFor(400ms);
  cr_assert_eq(node.m_script.m_dropped, 1);
  cr_assert_eq(node.m_script.m_lists.size(), 1);
  // The platform's answer covers the peer's revision.
  node.AnswerList(9);
  node.ReceiveDigest(9);
  node.RunFor(800ms);
  cr_assert_eq(node.m_script.m_dropped, 1);
}

Test(PlatformLoop, AChangeBehindASilentWatchIsNotReadWithinThePropagationBound)
{
  WatchingNode node;
  node.AnswerList(5);
  node.m_script.m_revision = Revision(9);
  node.RunFor(kPropagationBound);
  cr_assert_eq(node.m_script.m_lists.size(), 1);
}

Test(PlatformLoop, AllowsASlowAnswerMoreTimeAfterADrop)
{
  WatchingNode node;
  node.AnswerList(5);
  node.ReceiveFromPeer(Parameters(9));
  node.RunFor(600ms);
  cr_assert_eq(node.m_script.m_dropped, 1);
  // The list takes longer than the first limit, as over a slow link.
  node.RunFor(800ms);
  cr_assert_eq(node.m_script.m_dropped, 1);
  node.AnswerList(9);
  cr_assert_eq(node.m_script.m_watches.size(), 1);
}

Test(PlatformLoop, KeepsAWatchWhileItsAnswerArrives)
{
  WatchingNode node;
  node.AnswerList(5);
  node.ReceiveFromPeer(Parameters(9));
  for (int piece = 0; piece < 10; ++piece) {
    node.RunFor(200ms);
    node.m_script.m_watchedBytes += ByteCount(1'000);
  }
  cr_assert_eq(node.m_script.m_dropped, 0);
  node.RunFor(1200ms);
  cr_assert_eq(node.m_script.m_dropped, 1);
}

Test(PlatformLoop, KeepsAWatchThatCatchesUpWithPeersInTime)
{
  WatchingNode node;
  node.AnswerList(5);
  node.ReceiveFromPeer(Parameters(9));
  node.RunFor(200ms);
  node.AnswerWatch(9);
  node.RunFor(600ms);
  cr_assert_eq(node.m_script.m_dropped, 0);
}

Test(PlatformLoop, ListsInsteadOfWatchingAfterAFailure)
{
  WatchingNode node;
  node.AnswerList(5);
  node.FailWatch();
  node.RunFor(500ms);
  cr_assert_eq(node.m_script.m_watches.size(), 0);
  cr_assert_eq(node.m_script.m_lists.size(), 1);
  node.AnswerList(9);
  cr_assert_eq(node.m_script.m_watches.size(), 1);
}

Test(PlatformLoop, ListsWhenAWatchReturnsMostlyReplacedVersions)
{
  WatchingNode node;
  node.AnswerList(5);
  const std::string large(300'000, ' ');
  node.AnswerWatch(8, { Parameters(6, large), Parameters(8, large) });
  cr_assert_eq(node.m_script.m_watches.size(), 0);
  cr_assert_eq(node.m_script.m_lists.size(), 1);
  node.AnswerList(9);
  // An answer with one version of each object is no larger than a list.
  node.AnswerWatch(10, { Parameters(10, large) });
  cr_assert_eq(node.m_script.m_watches.size(), 1);
  cr_assert_eq(node.m_script.m_lists.size(), 0);
}

Test(PlatformLoop, AFailureStartsNoSecondListOfAPrefix)
{
  WatchingNode node(false, { { "configurations/" }, { "orders/" } });
  cr_assert_eq(node.m_script.m_lists.size(), 2);
  node.AnswerList(5);
  node.FailWatch();
  node.RunFor(500ms);
  // The first list of the other prefix is still pending.
  cr_assert_eq(node.m_script.m_lists.size(), 2);
  cr_assert_eq(node.m_script.m_watches.size(), 0);
  node.AnswerList(7);
  node.AnswerList(7);
  cr_assert_eq(node.m_script.m_watches.size(), 2);
}

Test(PlatformLoop, WatchesAreShortAfterAFailureAndGrowAgain)
{
  WatchingNode node;
  node.AnswerList(5);
  const Duration usual = node.m_script.m_waits.back();
  node.FailWatch();
  node.RunFor(500ms);
  node.AnswerList(5);
  cr_assert_eq(node.m_script.m_watches.size(), 1);
  Duration wait = node.m_script.m_waits.back();
  cr_assert(wait <= 1s);
  while (wait < usual) {
    node.AnswerWatch(5);
    cr_assert(node.m_script.m_waits.back() > wait);
    wait = node.m_script.m_waits.back();
  }
}

Test(PlatformLoop, RetriesWithin900MsHoweverManyFailures)
{
  WatchingNode node;
  node.AnswerList(5);
  for (int failures = 1; failures <= 8; ++failures) {
    if (failures == 1) {
      node.FailWatch();
    } else {
      node.FailList();
    }
    Duration waited{ 0 };
    while (node.m_script.m_lists.empty() && waited < 900ms) {
      node.RunFor(50ms);
      waited += 50ms;
    }
    cr_assert_eq(
      node.m_script.m_lists.size(), 1, "after %d failures", failures);
  }
}

Test(PlatformLoop, ReplacesThePreviousEntryWithAnotherAddress)
{
  WatchingNode node(true);
  cr_assert(node.m_script.m_writes.back().m_key == NodeKey(VmId("vm-1")));
  cr_assert(node.m_script.m_writes.back().m_expected == Revision(0));
  node.RejectRegistration();
  node.AnswerNodes("10.0.0.1:7000", "");
  cr_assert_eq(node.m_script.m_writes.size(), 2);
  // An unconditional write could replace the entry of a later process.
  cr_assert(node.m_script.m_writes.back().m_expected == kEntryRevision);
}

Test(PlatformLoop, KeepsAPreviousEntryThatIsUpToDate)
{
  WatchingNode node(true);
  node.RejectRegistration();
  node.AnswerNodes("127.0.0.1:7000", "");
  cr_assert_eq(node.m_script.m_writes.size(), 1);
}

Test(PlatformLoop, AdoptsTheLeavingUpstreamOfThePreviousEntry)
{
  WatchingNode node(true);
  node.RejectRegistration();
  node.AnswerNodes("127.0.0.1:7000",
                   R"(, "left": {"instance": "i-1", "birth": 100})");
  cr_assert_eq(node.Departed().Processes().size(), 1);
  cr_assert(node.Departed().Processes().front() ==
            (UpstreamProcess{ UpstreamInstanceId("i-1"), UpstreamBirth(100) }));
  cr_assert_eq(node.m_script.m_writes.size(), 1);
}

Test(PlatformLoop, RecordsALeavingUpstreamInTheEntryOnce)
{
  WatchingNode node(true);
  node.m_script.m_written.back()(Revision(3));
  const UpstreamProcess life{ UpstreamInstanceId("i-1"), UpstreamBirth(100) };
  node.Depart(life);
  // The write starts after the pending list of nodes.
  node.AnswerNodes("127.0.0.1:7000", "");
  node.Depart(life);
  cr_assert_eq(node.m_script.m_writes.size(), 2);
  const auto entry = ParseNode(node.m_script.m_writes.back().m_body);
  cr_assert(entry.value().m_departed.Covers(life));
  node.m_script.m_written.back()(Revision(4));
  node.Depart(life);
  cr_assert_eq(node.m_script.m_writes.size(), 2);
}

Test(PlatformLoop, RecordsALeaveThatArrivesBeforeThePreviousEntryIsRead)
{
  WatchingNode node(true);
  node.RejectRegistration();
  const UpstreamProcess life{ UpstreamInstanceId("i-2"), UpstreamBirth(200) };
  node.Depart(life);
  node.AnswerNodes("127.0.0.1:7000",
                   R"(, "left": {"instance": "i-1", "birth": 100})");
  cr_assert_eq(node.m_script.m_writes.size(), 2);
  const auto entry = ParseNode(node.m_script.m_writes.back().m_body);
  cr_assert(entry.value().m_departed.Covers(life));
}

Test(PlatformLoop, TheEntryOfANodeStaysLostAfterARestore)
{
  WatchingNode node(true);
  node.m_script.m_written.back()(Revision(3));
  const UpstreamProcess left{ UpstreamInstanceId("i-1"), UpstreamBirth(100) };
  node.AnswerNodes("127.0.0.1:7000", "");
  node.Depart(left);
  node.m_script.m_written.back()(Revision(4));
  node.AnswerList(5);
  node.AnswerWatch(RevisionIn(PlatformEra(1), 4)->Value());
  node.RunFor(700ms);
  cr_assert_eq(node.m_script.m_writes.size(), 2);
  // The copy has the entry as it was before the upstream left.
  node.AnswerNodes("127.0.0.1:7000", "");
  cr_assert_eq(node.m_script.m_writes.size(), 3);
  const auto entry = ParseNode(node.m_script.m_writes.back().m_body);
  cr_assert(entry.value().m_departed.Covers(left));
  node.m_script.m_written.back()(*RevisionIn(PlatformEra(1), 5));
  node.RunFor(700ms);
  cr_assert_eq(node.m_script.m_writes.size(), 3);
}

Test(PlatformLoop, AnEntryThatTheCopyHasIsWrittenAgain)
{
  WatchingNode node(true);
  node.m_script.m_written.back()(Revision(3));
  node.AnswerNodes("127.0.0.1:7000", "");
  node.AnswerList(5);
  node.AnswerWatch(RevisionIn(PlatformEra(1), 4)->Value());
  node.RunFor(700ms);
  node.AnswerNodes("127.0.0.1:7000", "");
  cr_assert_eq(node.m_script.m_writes.size(), 1);
}

// Freshness must count from before the read, and only once the documents are
// complete up to the revision that was read.
Test(PlatformLoop, RequestedCheckConfirmsOnceTheDocumentsAreComplete)
{
  WatchingNode node;
  node.AnswerList(5);
  const BootTime before = node.BootNow();
  node.CheckRevisionNow();
  cr_assert_eq(node.m_confirmedAt.size(), 1U);
  cr_assert(node.m_confirmedAt.back() >= before);
  node.m_script.m_revision = Revision(6);
  node.CheckRevisionNow();
  cr_assert_eq(node.m_confirmedAt.size(), 1U);
  const BootTime asked = node.BootNow();
  node.RunFor(5ms);
  node.AnswerList(6);
  cr_assert_eq(node.m_confirmedAt.size(), 2U);
  cr_assert(node.m_confirmedAt.back() <= asked);
  node.m_script.m_revision = Revision(7);
  node.CheckRevisionNow();
  node.FailList();
  cr_assert_eq(node.m_confirmedAt.size(), 2U);
}

} // namespace tarragontray
