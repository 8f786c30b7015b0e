/// \file
/// Simulates a network of gossip nodes in one process, in virtual time.
///
/// Datagrams are lost, delayed (and thereby reordered) and duplicated at
/// random, reproducibly by seed; links can be cut. After each event the
/// simulation checks these invariants: a document revision never decreases
/// within a process, a replacement process does not serve older documents than
/// its predecessor on the VM had in force, and a membership record is never
/// replaced by an older one.
///
///     FakeNetwork network(7, { .m_loss = 0.05 });
///     network.AddNodes("dc1", 10);
///     network.Run(std::chrono::seconds(10));
///     cr_assert_eq(network.Violations(), 0);
///
/// Thread safety: one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/Clock.h"
#include "base/Random.h"
#include "process/Gossip.h"
#include "process/testing/FakePlatform.h"

namespace tarragontray::testing {

/// The probabilities of loss and duplication, and the range of delays.
struct LinkFaults
{
  double m_loss = 0;
  double m_duplicate = 0;
  Duration m_minDelay = std::chrono::microseconds(400);
  Duration m_maxDelay = std::chrono::milliseconds(2);
};

/// One simulated process.
struct FakeNode
{
  explicit FakeNode(std::uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  SeededRandom m_random;
  std::unique_ptr<Gossip> m_gossip;
  NetworkAddress m_address;
  DataCentreId m_dataCentre;
  bool m_isAlive = true;
  bool m_isPaused = false;
  /// Datagrams received while the process is paused.
  std::vector<std::pair<Datagram, NetworkAddress>> m_inbox;
  MonotonicTime m_tickAt = MonotonicTime::max();
  bool m_isCalling = false;
  bool m_isWatching = false;
  MonotonicTime m_callNotBefore{};
  bool m_isChecking = false;
  std::optional<MonotonicTime> m_overtakenAt;
  std::map<ObjectKey, Revision> m_applied;
  std::map<Revision, MonotonicTime> m_appliedAt;
  std::map<VmId, MemberRecord> m_records;
  std::uint64_t m_bytesSent = 0;
  std::uint64_t m_bytesReceived = 0;
};

/// Simulates the nodes, the links and the platform.
class FakeNetwork
{
public:
  /// True when datagrams from the first node do not reach the second.
  using Blocked = std::function<bool(const FakeNode&, const FakeNode&)>;

  FakeNetwork(std::uint64_t aSeed, const LinkFaults& aFaults);

  /// Starts aCount nodes, named "<data centre>-1" and so on. The seeds of a
  /// node are the first two nodes of each data centre that has been started.
  void AddNodes(const std::string& aDataCentre, std::size_t aCount);
  /// Starts a process on a VM, in place of the previous process, if any.
  FakeNode& Start(const std::string& aVm, const std::string& aDataCentre);
  /// Replaces the process on a VM by one at an address that was not used
  /// before.
  FakeNode& StartAtNewAddress(const std::string& aVm,
                              const std::string& aDataCentre);
  void Kill(const std::string& aVm) { Node(aVm).m_isAlive = false; }
  void Pause(const std::string& aVm) { Node(aVm).m_isPaused = true; }
  void Resume(const std::string& aVm);
  /// Ticks a node at once, as its timer would, after a test called it directly.
  void TickNode(const std::string& aVm) { TickIfRunning(Node(aVm)); }
  void Run(Duration aTime);
  /// Runs until the condition holds, for at most aLimit. Returns the elapsed
  /// time.
  Duration RunUntil(const std::function<bool()>& aCondition, Duration aLimit);
  void Write(const std::string& aKey, const std::string& aBody);
  /// Starts the revision checks that PlatformLoop makes: a node that is due
  /// reads the platform's revision, and lists the documents when its own are
  /// older. A node that peers have overtaken for kStallTimeout lists, too.
  void StartRevisionChecks();

  FakeNode& Node(const std::string& aVm) { return *m_nodes.at(VmId(aVm)); }
  Gossip& At(const std::string& aVm) { return *Node(aVm).m_gossip; }
  std::map<VmId, std::unique_ptr<FakeNode>>& Nodes() { return m_nodes; }
  FakePlatform& ThePlatform() { return m_platform; }
  MonotonicTime Now() const { return m_clock.Now(); }
  /// True when every live process has at least this revision of the key.
  bool AllHave(const std::string& aKey, Revision aRevision) const;
  /// True when every live process has exactly the live ones as Alive members.
  bool AllAgree() const { return AllViewsMatch(NodeState::Alive); }
  /// As AllAgree(), but members may be Suspect, as happens under packet loss.
  bool AllAgreeOrSuspect() const { return AllViewsMatch(NodeState::Suspect); }
  /// The number of violated invariants; each violation is printed.
  std::size_t Violations() const { return m_violations; }

  LinkFaults m_faults;
  /// The links that drop everything.
  Blocked m_blocked;
  /// The nodes that cannot reach the platform.
  std::function<bool(const FakeNode&)> m_isCutFromPlatform;
  GossipSettings m_settings;
  /// The cell of nodes that are started from now on; empty: each data centre is
  /// a cell of its own.
  DataCentreId m_cell;
  /// What nodes watch at the platform.
  WatchedPrefix m_watched;
  /// The wall clock skew of processes that are started from now on.
  Duration m_clockSkew{ 0 };
  /// Whether to check that no membership record is replaced by an older one.
  /// Large simulations turn it off, because it copies the records of every
  /// node.
  bool m_isCheckingRecords = true;

private:
  struct Event
  {
    MonotonicTime m_time;
    std::uint64_t m_order;
    std::function<void()> m_run;
    bool operator>(const Event& aOther) const
    {
      return std::tie(m_time, m_order) >
             std::tie(aOther.m_time, aOther.m_order);
    }
  };

  bool AllViewsMatch(NodeState aAtMost) const;
  void After(Duration aDelay, std::function<void()> aRun);
  Duration Delay();
  void Handle(FakeNode& aNode, GossipActions aActions);
  void Transmit(FakeNode& aFrom, const OutgoingDatagram& aOutgoing);
  void Deliver(FakeNode& aTo, const Datagram& aDatagram, NetworkAddress aFrom);
  void StartPull(FakeNode& aNode, const OutgoingPull& aPull);
  void Reschedule(FakeNode& aNode);
  void TickIfRunning(FakeNode& aNode);
  void CallPlatform(FakeNode& aNode);
  void AnswerPlatform(FakeNode& aNode);
  void CheckRevision(FakeNode& aNode);
  void CheckForStall(FakeNode& aNode);
  void Check(FakeNode& aNode);
  void CheckFloors(FakeNode& aNode);
  void CheckRecords(FakeNode& aNode);
  bool IsBlocked(const FakeNode& aFrom, const FakeNode& aTo) const;
  FakeNode* Find(const NetworkAddress& aAddress);

  ManualClock m_clock;
  SeededRandom m_random;
  FakePlatform m_platform;
  std::map<VmId, std::unique_ptr<FakeNode>> m_nodes;
  std::unordered_map<NetworkAddress, FakeNode*> m_byAddress;
  /// The highest revisions that a process on each VM had in force.
  std::map<VmId, std::map<ObjectKey, Revision>> m_floors;
  /// Ended processes, kept because pending events may refer to them.
  std::vector<std::unique_ptr<FakeNode>> m_ended;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::uint64_t m_order = 0;
  std::uint64_t m_starts = 0;
  std::size_t m_violations = 0;
};

} // namespace tarragontray::testing
