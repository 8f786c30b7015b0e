/// \file
/// Test support: simulates calls between entry nodes and guards over an
/// in-memory network in virtual time. Injects a fault into each message and
/// counts the executions at the upstreams.
///
///     FakeExchange exchange(settings, faults);
///     exchange.Start(spec);
///     exchange.RunFor(std::chrono::seconds(20));
///     std::vector<std::string> violations = exchange.Violations();
///
/// Thread safety: one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/Random.h"
#include "request/CallPlan.h"
#include "request/Guard.h"
#include "request/RetryBudget.h"
#include "request/Subset.h"
#include "request/TwoChoicesBalancing.h"

namespace tarragontray::testing {

/// The fault injected into one attempt.
enum class AttemptFault : std::uint8_t
{
  None,
  /// The link fails before anything is sent.
  NotSent,
  /// The call is lost and the link fails.
  Dropped,
  /// The link fails, but the call arrives much later.
  Late,
  /// The link fails while the call is waiting or running.
  CutInMiddle,
  /// The call runs and its answer is lost.
  AnswerDropped,
};
inline constexpr std::uint8_t kAttemptFaults = 6;

/// The fault injected into one query.
enum class AskFault : std::uint8_t
{
  None,
  Unreachable,
  AnswerDropped,
};
inline constexpr std::uint8_t kAskFaults = 3;

/// Decides which faults to inject. Thread safety: one thread.
class FaultPlan
{
public:
  virtual ~FaultPlan() = default;
  virtual AttemptFault OnAttempt(std::uint8_t aAttempt) = 0;
  virtual AskFault OnAsk() = 0;
};

struct FakeCallSpec
{
  OperationId m_operation;
  bool m_isCallerKey = false;
  bool m_isIdempotent = false;
  /// The entry node still uses the previous view.
  bool m_hasFormerView = false;
  Duration m_timeout = std::chrono::seconds(2);
};

struct FakeExchangeSettings
{
  std::uint64_t m_seed = 1;
  std::size_t m_targets = 3;
  std::uint32_t m_slots = 2;
  Duration m_serviceTime = std::chrono::milliseconds(20);
  VersionSplit m_split{ std::nullopt, UpstreamVersion("v1"), {}, {} };
};

class FakeExchange
{
public:
  /// \param aFaults must outlive this object.
  FakeExchange(const FakeExchangeSettings& aSettings, FaultPlan& aFaults);

  /// Starts a call at an entry node.
  void Start(const FakeCallSpec& aSpec);
  /// Sets the share of the move for calls that start later.
  void SetShare(Share aShare);
  /// Suspends a target's node for aSpan; messages to it are delivered
  /// afterwards.
  void Pause(std::size_t aTarget, Duration aSpan);
  /// Replaces a target's node with a new incarnation that has no records.
  void Restart(std::size_t aTarget);
  void Drain(std::size_t aTarget);
  /// The guard refuses all calls because of an evacuation, of which the entry
  /// node does not know.
  void Evacuate(std::size_t aTarget);
  /// Adds a target to the view of later calls.
  void Join();
  void RunFor(Duration aSpan);

  std::size_t Executions(const OperationId& aOperation) const;
  /// The answers to the callers, in the order of the calls; not set while a
  /// call is open.
  const std::vector<std::optional<Answer>>& Answers() const
  {
    return m_answers;
  }
  /// The operations of the calls that were answered with Unknown.
  std::vector<OperationId> UnknownOperations() const;
  /// One line for each violated guarantee.
  const std::vector<std::string>& Violations() const { return m_violations; }
  /// One line for each step and message, for golden files.
  const std::string& Log() const { return m_log; }

private:
  using Event = std::function<void()>;

  struct Node
  {
    std::unique_ptr<Guard> m_guard;
    Incarnation m_incarnation{ 1 };
    MonotonicTime m_pausedUntil{};
    /// Zero for the initial nodes.
    MonotonicTime m_joined{};
  };
  struct OpenCall
  {
    FakeCallSpec m_spec;
    std::unique_ptr<RouteSpec> m_route;
    std::unique_ptr<CallPlan> m_plan;
    /// Sequence number of the pending attempt or query; events of earlier ones
    /// are ignored.
    std::uint64_t m_exchange = 0;
    std::size_t m_target = 0;
  };
  struct Link
  {
    std::size_t m_call = 0;
    std::uint64_t m_exchange = 0;
    std::size_t m_node = 0;
    /// The incarnation of the node at the other end.
    Incarnation m_incarnation;
    bool m_dropsAnswer = false;
    /// The entry node has not seen the link fail.
    bool m_isOpen = true;
  };

  void At(Duration aDelay, Event aEvent);
  /// Runs aEvent at the node, after its pause if it is paused.
  void AtNode(std::size_t aNode, Duration aDelay, Event aEvent);
  void PublishView();
  void AddNode();
  std::unique_ptr<Guard> MakeGuard(Incarnation aIncarnation) const;
  void Perform(std::size_t aCall, const Step& aStep);
  void Send(std::size_t aCall, const SendAttempt& aStep);
  /// Asks the guard to refuse the attempt if it still waits by then.
  void ScheduleWithdrawal(std::size_t aCall,
                          std::uint64_t aLink,
                          Duration aDelay);
  void FailLink(std::size_t aCall, std::uint64_t aLink, LostStage aStage);
  void Deliver(std::uint64_t aLink, const Call& aCall);
  void Ask(std::size_t aCall, const AskOperation& aStep);
  void Finish(std::size_t aCall, const Answer& aAnswer);
  void Apply(std::size_t aNode, const GuardActions& aActions);
  void RunUpstream(std::size_t aNode, const struct Run& aRun);
  /// Delivers an event to the plan unless it belongs to an earlier exchange.
  void Feed(std::size_t aCall,
            std::uint64_t aExchange,
            const std::function<Step(CallPlan&)>& aEvent);
  const UpstreamVersion& VersionOf(std::size_t aNode) const;
  std::size_t IndexOf(const Target& aTarget) const;
  void AppendLog(const std::string& aLine);
  MonotonicTime Now() const { return m_now; }

  FakeExchangeSettings m_settings;
  FaultPlan& m_faults;
  SeededRandom m_random;
  TwoChoicesBalancing m_balancing{ TwoChoicesSettings{} };
  VersionSplitter m_splitter{ m_random };
  RetryBudget m_retries{ RetryBudgetSettings{} };
  TrafficPolicies m_policies{ m_balancing, m_splitter, m_retries, m_random };
  MonotonicTime m_now{ std::chrono::hours(1) };
  std::multimap<MonotonicTime, Event> m_events;
  std::vector<Node> m_nodes;
  /// Views are never removed, since open calls point into earlier ones.
  std::deque<ServiceView> m_views;
  std::deque<OpenCall> m_calls;
  std::vector<Link> m_links;
  std::vector<std::optional<Answer>> m_answers;
  /// The start time of each execution, by operation.
  std::map<OperationId, std::vector<MonotonicTime>> m_executions;
  std::vector<std::string> m_violations;
  std::string m_log;
};

} // namespace tarragontray::testing
