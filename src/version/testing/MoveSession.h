/// \file
/// A simulated session of one move on a few nodes, in virtual time.
///
///     MoveSession session(settings, MakePolicy);
///     SessionResult result = session.Run();
///
/// Each node has its own Moves object; all nodes share an UpstreamModel.
/// Messages pass through an in-memory queue with delay, loss and network
/// partitions between data centres. No other part of the system is involved.
///
/// For tests and experiments. Thread safety: one thread.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <variant>
#include <vector>

#include "base/Clock.h"
#include "base/Random.h"
#include "version/Moves.h"
#include "version/testing/UpstreamModel.h"

namespace tarragontray::testing {

/// A half-open time interval [m_begin, m_end).
struct SessionSpan
{
  SessionTime m_begin{ 0 };
  SessionTime m_end{ 0 };

  bool Contains(SessionTime aTime) const
  {
    return aTime >= m_begin && aTime < m_end;
  }
};

/// A network partition that isolates one data centre.
struct SessionPartition
{
  std::size_t m_dataCentre = 0;
  SessionSpan m_span;
};

/// A network partition that isolates the first data centre's coordinator and
/// some other nodes of it.
struct SessionCut
{
  std::size_t m_others = 0;
  SessionSpan m_span;
};

/// The settings of a session.
struct SessionSettings
{
  std::uint64_t m_seed = 1;
  std::size_t m_dataCentres = 2;
  std::size_t m_nodes = 3;
  /// Calls per second of each data centre.
  double m_callsPerSecond = 180.0;
  /// The fraction of the calls on each route; the sum is 1.
  std::vector<double> m_routes{ 0.8, 0.2 };
  SessionTime m_start = std::chrono::seconds(10);
  SessionTime m_deadline = std::chrono::seconds(130);
  Duration m_hold = std::chrono::seconds(30);
  SessionTime m_end = std::chrono::seconds(200);
  ModelSettings m_model;
  double m_messageLoss = 0.05;
  /// The maximum of the additional, uniformly distributed message delay.
  Duration m_messageJitter = std::chrono::milliseconds(200);
  /// The step of the virtual clock.
  Duration m_step = std::chrono::milliseconds(100);
  /// The interval of evidence windows and of reports.
  Duration m_evidenceInterval = std::chrono::seconds(1);
  /// If set, a call is observed when it ends, and fails at this time-out;
  /// otherwise it is observed when it starts.
  std::optional<Duration> m_callTimeout;
  /// The call rate is multiplied by this factor during m_peak.
  double m_peakFactor = 1.0;
  SessionSpan m_peak;
  SessionSpan m_platformOutage;
  std::optional<SessionPartition> m_partition;
  std::optional<SessionCut> m_cut;
  /// The first data centre's coordinator is paused during this interval.
  std::optional<SessionSpan> m_coordinatorPause;
  /// Whether another node takes over while the coordinator is paused.
  bool m_isCoordinatorReplaced = true;
  /// Whether each data centre has two coordinators throughout.
  bool m_hasTwoCoordinators = false;
  /// The plan is removed at this time.
  std::optional<SessionTime> m_cancel;
};

/// The result of a session.
struct SessionResult
{
  MoveState m_state = MoveState::Planned;
  std::string m_reason;
  RouteName m_route;
  /// Whether all nodes applied the full share at the deadline, except paused
  /// and just resumed ones.
  bool m_hasFullShareInTime = false;
  /// The shares that the nodes applied at the deadline.
  std::vector<Share> m_sharesAtDeadline;
  std::size_t m_calls = 0;
  /// The number of calls between the start and the deadline of the plan.
  std::size_t m_plannedCalls = 0;
  std::size_t m_newCalls = 0;
  /// The number of calls affected by a fault of the new version alone.
  std::size_t m_faultyCalls = 0;
  /// The time of the first such call.
  std::optional<SessionTime> m_firstFaultyCall;
  /// The time of the last call to the new version.
  std::optional<SessionTime> m_lastNewCall;
  std::vector<MoveOutcome> m_writtenOutcomes;
  /// How often a data centre's share was lowered, other than to zero.
  std::size_t m_comparisons = 0;
  /// One line per change: time, shares, state, route and reason.
  std::vector<std::string> m_log;
};

/// Creates the policy of one node.
using PolicyFactory = std::function<std::unique_ptr<MovePolicy>()>;

/// A simulated session of one move; see the file comment.
class MoveSession
{
public:
  MoveSession(SessionSettings aSettings, const PolicyFactory& aPolicy);

  /// Runs the session. Precondition: not called before.
  SessionResult Run();

private:
  struct Node
  {
    std::size_t m_dataCentre = 0;
    VmId m_vm;
    std::unique_ptr<Moves> m_moves;
    /// The accumulated fraction of the split (error diffusion).
    double m_splitRemainder = 0.0;
    SessionTime m_nextTick{ 0 };
    bool m_isCoordinator = false;
    /// Whether the node is on the coordinator's side of SessionSettings::m_cut.
    bool m_isCut = false;
  };
  struct Message
  {
    SessionTime m_deliverAt{ 0 };
    std::uint64_t m_order = 0;
    std::size_t m_to = 0;
    std::variant<MoveProgress, EvidenceReport> m_body;

    bool operator>(const Message& aOther) const
    {
      return std::tie(m_deliverAt, m_order) >
             std::tie(aOther.m_deliverAt, aOther.m_order);
    }
  };

  /// An observation of a call that has not ended yet.
  struct PendingObservation
  {
    SessionTime m_endAt{ 0 };
    std::uint64_t m_order = 0;
    std::size_t m_node = 0;
    LocalObservation m_observation;

    bool operator>(const PendingObservation& aOther) const
    {
      return std::tie(m_endAt, m_order) >
             std::tie(aOther.m_endAt, aOther.m_order);
    }
  };

  void MakeNodes(const PolicyFactory& aPolicy);
  MonotonicTime Now() const { return m_clock.Now(); }
  bool IsPaused(std::size_t aNode) const;
  bool HasJustResumed(std::size_t aNode) const;
  bool IsPartitioned(std::size_t aFrom, std::size_t aTo) const;
  void AssignCoordinators();
  /// Assigns the role among the nodes of a data centre on one side of the cut.
  /// \param aLive the nodes that those consider alive.
  void AssignCoordinators(std::size_t aDataCentre,
                          bool aIsCut,
                          std::vector<VmId> aLive);
  void MakeCut();
  void SetIsCoordinator(Node& aNode, bool aIsCoordinator);
  void SimulateCalls(Node& aNode);
  void SimulateCall(Node& aNode, std::optional<VersionSplit> aSplit);
  void Observe(Node& aNode, const ModelCall& aCall, const ModelAnswer& aAnswer);
  void DeliverObservations();
  void Tick(std::size_t aNode);
  void Send(std::size_t aFrom,
            std::size_t aTo,
            std::variant<MoveProgress, EvidenceReport> aBody);
  void Deliver();
  void WriteOutcome(Node& aNode, const MoveOutcome& aOutcome);
  void RecordStatus();
  void Finish();

  SessionSettings m_settings;
  SeededRandom m_random;
  ManualClock m_clock;
  MonotonicTime m_origin;
  WallTime m_wallOrigin;
  SessionTime m_time{ 0 };
  MovePlan m_plan;
  UpstreamModel m_model;
  std::vector<Node> m_nodes;
  std::size_t m_pausedNode = 0;
  std::priority_queue<Message, std::vector<Message>, std::greater<>> m_queue;
  std::priority_queue<PendingObservation,
                      std::vector<PendingObservation>,
                      std::greater<>>
    m_pending;
  std::uint64_t m_sent = 0;
  std::vector<Share> m_lastShares;
  std::string m_lastLine;
  SessionResult m_result;
};

} // namespace tarragontray::testing
