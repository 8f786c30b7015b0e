/// \file
/// A scripted session of one move over a few nodes, in virtual time.
///
///     MoveSession session(settings, MakePolicy);
///     SessionResult result = session.Run();
///
/// Each node holds its own Moves object and shares an UpstreamModel with the
/// others. Messages go through one queue in memory with delay, loss and cuts
/// between data centres. Nothing else of the system is there.
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

/// From the first to before the second.
struct SessionSpan
{
  SessionTime m_begin{ 0 };
  SessionTime m_end{ 0 };

  bool Contains(SessionTime aTime) const
  {
    return aTime >= m_begin && aTime < m_end;
  }
};

/// A data centre that only its own nodes reach.
struct SessionPartition
{
  std::size_t m_dataCentre = 0;
  SessionSpan m_span;
};

/// The script of a session.
struct SessionSettings
{
  std::uint64_t m_seed = 1;
  std::size_t m_dataCentres = 2;
  std::size_t m_nodes = 3;
  /// Calls a second of one data centre.
  double m_callsPerSecond = 180.0;
  /// Parts of the calls on each route; they add up to one.
  std::vector<double> m_routes{ 0.8, 0.2 };
  SessionTime m_start = std::chrono::seconds(10);
  SessionTime m_deadline = std::chrono::seconds(130);
  Duration m_hold = std::chrono::seconds(30);
  SessionTime m_end = std::chrono::seconds(200);
  ModelSettings m_model;
  double m_messageLoss = 0.05;
  /// Calls rise by this factor within the span.
  double m_peakFactor = 1.0;
  SessionSpan m_peak;
  SessionSpan m_platformOutage;
  std::optional<SessionPartition> m_partition;
  /// The first data centre's coordinator is frozen within the span.
  std::optional<SessionSpan> m_coordinatorPause;
  /// Whether another node takes over while the coordinator is frozen.
  bool m_isCoordinatorReplaced = true;
  /// Two coordinators in each data centre all the time.
  bool m_hasTwoCoordinators = false;
  /// The plan is removed at this time.
  std::optional<SessionTime> m_cancel;
};

/// What a session came to.
struct SessionResult
{
  MoveState m_state = MoveState::Planned;
  std::string m_reason;
  RouteName m_route;
  /// The move was whole in all data centres at the deadline.
  bool m_hasFullShareInTime = false;
  /// The shares by data centre at the deadline.
  std::vector<Share> m_sharesAtDeadline;
  std::size_t m_calls = 0;
  std::size_t m_newCalls = 0;
  /// Calls that the new version's own fault made worse.
  std::size_t m_faultyCalls = 0;
  /// The first call that the new version's own fault made worse.
  std::optional<SessionTime> m_firstFaultyCall;
  /// The last call to the new version.
  std::optional<SessionTime> m_lastNewCall;
  std::vector<MoveOutcome> m_writtenOutcomes;
  /// Times at which a data centre's share was seen to fall, other than to
  /// none.
  std::size_t m_comparisons = 0;
  /// One line for each change: time, shares, state, reason.
  std::vector<std::string> m_log;
};

/// Makes a policy for each node.
using PolicyFactory = std::function<std::unique_ptr<MovePolicy>()>;

/// See the file comment.
class MoveSession
{
public:
  MoveSession(SessionSettings aSettings, const PolicyFactory& aPolicy);

  /// Plays the whole script. Precondition: called once.
  SessionResult Run();

private:
  struct Node
  {
    std::size_t m_dataCentre = 0;
    VmId m_vm;
    std::unique_ptr<Moves> m_moves;
    /// Error diffusion of the split.
    double m_splitRemainder = 0.0;
    SessionTime m_nextTick{ 0 };
    bool m_isCoordinator = false;
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

  void MakeNodes(const PolicyFactory& aPolicy);
  MonotonicTime Now() const { return m_clock.Now(); }
  bool IsPaused(std::size_t aNode) const;
  bool HasJustResumed(std::size_t aNode) const;
  bool IsPartitioned(std::size_t aFrom, std::size_t aTo) const;
  void AssignCoordinators();
  void SetIsCoordinator(Node& aNode, bool aOn);
  void SimulateCalls(Node& aNode);
  void SimulateCall(Node& aNode, std::optional<VersionSplit> aSplit);
  void Observe(Node& aNode, const ModelCall& aCall, const ModelAnswer& aAnswer);
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
  std::uint64_t m_sent = 0;
  std::vector<Share> m_lastShares;
  std::string m_lastLine;
  SessionResult m_result;
};

} // namespace tarragontray::testing
