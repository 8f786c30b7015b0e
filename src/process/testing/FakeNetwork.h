/// \file
/// Gossip nodes in one process, joined by datagrams and pulls in virtual time.
///
/// Datagrams are lost, delayed (and so reordered) and duplicated by seed; links
/// can be cut. It checks in every session that no process's document revision
/// falls, that no replacement serves less than its forerunner on the VM had in
/// force, and that a record never gives way to an older one.
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
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/Clock.h"
#include "base/Random.h"
#include "process/Gossip.h"
#include "process/testing/FakePlatform.h"

namespace tarragontray::testing {

/// What links do to datagrams.
struct LinkFaults
{
  double m_loss = 0;
  double m_duplicate = 0;
  Duration m_minDelay = std::chrono::microseconds(400);
  Duration m_maxDelay = std::chrono::milliseconds(2);
};

/// One process.
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
  /// Received while paused.
  std::vector<std::pair<Datagram, NetworkAddress>> m_inbox;
  MonotonicTime m_tickAt = MonotonicTime::max();
  bool m_isCalling = false;
  bool m_isWatching = false;
  MonotonicTime m_callNotBefore{};
  std::map<ObjectKey, Revision> m_applied;
  std::map<Revision, MonotonicTime> m_appliedAt;
  std::map<VmId, MemberRecord> m_records;
  std::uint64_t m_bytesSent = 0;
  std::uint64_t m_bytesReceived = 0;
};

/// The nodes, the links and the platform.
class FakeNetwork
{
public:
  using Blocked = std::function<bool(const FakeNode&, const FakeNode&)>;

  FakeNetwork(std::uint64_t aSeed, const LinkFaults& aFaults);

  /// Starts aCount nodes "DC-1" and on; seeds are the first two of each data
  /// centre that is there.
  void AddNodes(const std::string& aDataCentre, std::size_t aCount);
  /// Starts a process on a VM, in place of the one before, if any.
  FakeNode& Start(const std::string& aVm, const std::string& aDataCentre);
  /// The same at an address that no process had before.
  FakeNode& StartAtNewAddress(const std::string& aVm,
                              const std::string& aDataCentre);
  void Kill(const std::string& aVm) { Node(aVm).m_isAlive = false; }
  void Pause(const std::string& aVm) { Node(aVm).m_isPaused = true; }
  void Resume(const std::string& aVm);
  /// Lets a node act on what a test told it directly, as its timer would.
  void TickNode(const std::string& aVm) { Wake(Node(aVm)); }
  void Run(Duration aTime);
  /// Runs until the condition holds; the time that it took, or aLimit.
  Duration RunUntil(const std::function<bool()>& aCondition, Duration aLimit);
  void Write(const std::string& aKey, const std::string& aBody);

  FakeNode& Node(const std::string& aVm) { return *m_nodes.at(VmId(aVm)); }
  Gossip& At(const std::string& aVm) { return *Node(aVm).m_gossip; }
  std::map<VmId, std::unique_ptr<FakeNode>>& Nodes() { return m_nodes; }
  FakePlatform& ThePlatform() { return m_platform; }
  MonotonicTime Now() const { return m_clock.Now(); }
  /// True when every running process has this revision of the key.
  bool AllHave(const std::string& aKey, Revision aRevision) const;
  /// True when every running process counts exactly the running ones as alive.
  bool AllAgree() const { return AllCount(NodeState::Alive); }
  /// The same, but some may be suspected, as happens under loss.
  bool AllAgreeOrSuspect() const { return AllCount(NodeState::Suspect); }
  /// Breaches of the invariants; each is printed.
  std::size_t Violations() const { return m_violations; }

  LinkFaults m_faults;
  /// Links that swallow everything.
  Blocked m_blocked;
  /// Nodes that cannot reach the platform.
  std::function<bool(const FakeNode&)> m_isCutFromPlatform;
  GossipSettings m_settings;
  /// Of the wall clocks of processes that start from now on.
  Duration m_clockSkew{ 0 };
  /// Off for large sessions: copies of all records for comparison.
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

  bool AllCount(NodeState aAtMost) const;
  void After(Duration aDelay, std::function<void()> aRun);
  Duration Delay();
  void Handle(FakeNode& aNode, GossipActions aActions);
  void Transmit(FakeNode& aFrom, const OutgoingDatagram& aOutgoing);
  void Deliver(FakeNode& aTo, const Datagram& aDatagram, NetworkAddress aFrom);
  void StartPull(FakeNode& aNode, const OutgoingPull& aPull);
  void Reschedule(FakeNode& aNode);
  void Wake(FakeNode& aNode);
  void CallPlatform(FakeNode& aNode);
  void AnswerPlatform(FakeNode& aNode);
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
  /// The highest revisions that any process of a VM had in force.
  std::map<VmId, std::map<ObjectKey, Revision>> m_floors;
  /// Ended processes: events may still point to them.
  std::vector<std::unique_ptr<FakeNode>> m_ended;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::uint64_t m_order = 0;
  std::uint64_t m_starts = 0;
  std::size_t m_violations = 0;
};

} // namespace tarragontray::testing
