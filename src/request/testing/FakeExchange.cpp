#include "request/testing/FakeExchange.h"

#include <algorithm>
#include <utility>

#include "request/FairAdmission.h"

namespace tarragontray::testing {

namespace {

constexpr Duration kLatency = std::chrono::milliseconds(1);
/// Time until an entry node detects a link failure.
constexpr Duration kDetection = std::chrono::milliseconds(8);
/// Delay of a late call; longer than any call, so that all queries about it
/// come first.
constexpr Duration kLateness = std::chrono::seconds(3);

const ServiceId kService{ ClientAccountId("vanua-voice"),
                          ServiceName("booth-desk") };
const ClientAccountId kCaller("members");

template<class... Cases>
struct Overloaded : Cases...
{
  using Cases::operator()...;
};
template<class... Cases>
Overloaded(Cases...) -> Overloaded<Cases...>;

} // namespace

FakeExchange::FakeExchange(const FakeExchangeSettings& aSettings,
                           FaultPlan& aFaults)
  : m_settings(aSettings)
  , m_faults(aFaults)
  , m_random(aSettings.m_seed)
{
  for (std::size_t i = 0; i < aSettings.m_targets; ++i) {
    AddNode();
  }
  PublishView();
}

void
FakeExchange::AddNode()
{
  Node& node = m_nodes.emplace_back();
  node.m_guard = MakeGuard(node.m_incarnation);
  node.m_guard->SetUpstream({ kService,
                              VersionOf(m_nodes.size() - 1),
                              UpstreamState::Live,
                              SlotCount(m_settings.m_slots) },
                            m_now);
}

void
FakeExchange::Join()
{
  AppendLog("join vm-" + std::to_string(m_nodes.size()));
  AddNode();
  m_nodes.back().m_joined = m_now;
  PublishView();
}

const UpstreamVersion&
FakeExchange::VersionOf(std::size_t aNode) const
{
  const VersionSplit& split = m_settings.m_split;
  return split.m_move && aNode % 2 == 1 ? split.m_to : split.m_from;
}

void
FakeExchange::PublishView()
{
  ServiceView view;
  view.m_id = kService;
  view.m_split = m_settings.m_split;
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    Target target;
    target.m_vm = VmId("vm-" + std::to_string(i));
    target.m_version = VersionOf(i);
    target.m_knownSince = m_nodes[i].m_joined;
    target.m_slots = SlotCount(m_settings.m_slots);
    target.m_incarnation = m_nodes[i].m_incarnation;
    view.m_targets.push_back(target);
  }
  view.m_keys = KeyPlacement::Create(view.m_targets).value();
  m_views.push_back(std::move(view));
}

std::unique_ptr<Guard>
FakeExchange::MakeGuard(Incarnation aIncarnation) const
{
  GuardSettings settings;
  settings.m_incarnation = aIncarnation;
  std::unique_ptr<AdmissionPolicy> policy =
    FairAdmission::Create({ kService.m_owner, 4, Share::All() }).value();
  return std::make_unique<Guard>(
    Guard::Create(settings, std::move(policy)).value());
}

void
FakeExchange::Start(const FakeCallSpec& aSpec)
{
  const std::size_t index = m_calls.size();
  m_answers.emplace_back();
  const bool isFormer = aSpec.m_hasFormerView && m_views.size() > 1;
  const ServiceView& view =
    isFormer ? m_views[m_views.size() - 2] : m_views.back();
  OpenCall& call = m_calls.emplace_back();
  call.m_spec = aSpec;
  call.m_route = std::make_unique<RouteSpec>();
  call.m_route->m_idempotent = aSpec.m_isIdempotent;
  call.m_route->m_timeout = aSpec.m_timeout;
  call.m_plan =
    std::make_unique<CallPlan>(CallPlan::Start({ *call.m_route,
                                                 view,
                                                 aSpec.m_operation,
                                                 aSpec.m_isCallerKey,
                                                 kCaller,
                                                 0,
                                                 m_now + aSpec.m_timeout,
                                                 DataCentreId("dc1"),
                                                 m_policies }));
  At(aSpec.m_timeout, [this, index] {
    OpenCall& due = m_calls[index];
    if (!due.m_plan->IsFinished()) {
      const Step step = due.m_plan->OnTimer(m_now);
      ++due.m_exchange;
      Perform(index, step);
    }
  });
  Perform(index, call.m_plan->Begin(m_now));
}

void
FakeExchange::SetShare(Share aShare)
{
  m_settings.m_split.m_toShare = aShare;
  PublishView();
}

void
FakeExchange::Pause(std::size_t aTarget, Duration aSpan)
{
  m_nodes[aTarget].m_pausedUntil = m_now + aSpan;
}

void
FakeExchange::Restart(std::size_t aTarget)
{
  Node& node = m_nodes[aTarget];
  node.m_incarnation += Incarnation(1);
  node.m_guard = MakeGuard(node.m_incarnation);
  const Target& target = m_views.back().m_targets[aTarget];
  node.m_guard->SetUpstream(
    { kService, target.m_version, UpstreamState::Live, target.m_slots }, m_now);
  AppendLog("restart " + target.m_vm.Value());
  At(kDetection, [this] { PublishView(); });
  for (std::uint64_t link = 0; link < m_links.size(); ++link) {
    if (m_links[link].m_node == aTarget && m_links[link].m_isOpen) {
      FailLink(m_links[link].m_call, link, LostStage::Sent);
    }
  }
}

void
FakeExchange::Evacuate(std::size_t aTarget)
{
  Apply(aTarget, m_nodes[aTarget].m_guard->SetEvacuated(true, m_now));
}

void
FakeExchange::Drain(std::size_t aTarget)
{
  AppendLog("drain vm-" + std::to_string(aTarget));
  Apply(aTarget, m_nodes[aTarget].m_guard->Drain(m_now));
}

void
FakeExchange::RunFor(Duration aSpan)
{
  const MonotonicTime end = m_now + aSpan;
  while (!m_events.empty() && m_events.begin()->first <= end) {
    const auto first = m_events.begin();
    m_now = std::max(m_now, first->first);
    const Event event = std::move(first->second);
    m_events.erase(first);
    event();
  }
  m_now = end;
}

std::size_t
FakeExchange::Executions(const OperationId& aOperation) const
{
  const auto found = m_executions.find(aOperation);
  return found == m_executions.end() ? 0 : found->second.size();
}

std::vector<OperationId>
FakeExchange::UnknownOperations() const
{
  std::vector<OperationId> operations;
  for (std::size_t i = 0; i < m_answers.size(); ++i) {
    if (m_answers[i] && m_answers[i]->m_outcome == CallOutcome::Unknown) {
      operations.push_back(m_calls[i].m_spec.m_operation);
    }
  }
  return operations;
}

void
FakeExchange::At(Duration aDelay, Event aEvent)
{
  m_events.emplace(m_now + aDelay, std::move(aEvent));
}

void
FakeExchange::AtNode(std::size_t aNode, Duration aDelay, Event aEvent)
{
  At(aDelay, [this, aNode, event = std::move(aEvent)] {
    const MonotonicTime resumes = m_nodes[aNode].m_pausedUntil;
    if (m_now < resumes) {
      m_events.emplace(resumes, event);
    } else {
      event();
    }
  });
}

void
FakeExchange::Perform(std::size_t aCall, const Step& aStep)
{
  const std::uint64_t exchange = ++m_calls[aCall].m_exchange;
  std::visit(
    Overloaded{
      [&](const SendAttempt& aSend) { Send(aCall, aSend); },
      [&](const AskOperation& aAsk) { Ask(aCall, aAsk); },
      [&](const WaitUntil& aWait) {
        At(aWait.m_time - m_now, [this, aCall, exchange] {
          Feed(aCall, exchange, [this](CallPlan& aPlan) {
            return aPlan.OnTimer(m_now);
          });
        });
      },
      [&](const struct Finish& aFinish) { Finish(aCall, aFinish.m_answer); },
    },
    aStep);
}

void
FakeExchange::Send(std::size_t aCall, const SendAttempt& aStep)
{
  OpenCall& open = m_calls[aCall];
  const std::size_t node = IndexOf(*aStep.m_target);
  const std::uint64_t link = m_links.size();
  const AttemptFault fault = m_faults.OnAttempt(aStep.m_attempt);
  AppendLog("send call=" + std::to_string(aCall) + " to " +
            aStep.m_target->m_vm.Value() +
            " attempt=" + std::to_string(aStep.m_attempt) +
            " fault=" + std::to_string(static_cast<int>(fault)));
  m_links.push_back({ aCall,
                      open.m_exchange,
                      node,
                      m_nodes[node].m_incarnation,
                      fault == AttemptFault::AnswerDropped });
  Call call;
  call.m_id = CallId(aCall);
  call.m_operation = open.m_spec.m_operation;
  call.m_caller = kCaller;
  call.m_service = kService;
  call.m_version = aStep.m_version;
  call.m_idempotent = open.m_spec.m_isIdempotent;
  call.m_attempt = aStep.m_attempt;
  call.m_timeRemaining = aStep.m_timeRemaining;
  call.m_http.m_body = open.m_spec.m_operation.Value();
  if (fault == AttemptFault::NotSent) {
    FailLink(aCall, link, LostStage::NotSent);
    return;
  }
  if (fault != AttemptFault::Dropped) {
    const Duration delay = fault == AttemptFault::Late ? kLateness : kLatency;
    AtNode(node, delay, [this, link, call] { Deliver(link, call); });
  }
  ScheduleWithdrawal(aCall, link, aStep.m_withdrawAfter);
  if (fault != AttemptFault::None && fault != AttemptFault::AnswerDropped) {
    FailLink(aCall, link, LostStage::Sent);
    const Duration seenAtNode = kDetection * m_random.Below(4);
    AtNode(node, kLatency + seenAtNode, [this, node, link] {
      Apply(node, m_nodes[node].m_guard->LinkClosed(CallerLink(link), m_now));
    });
  }
}

void
FakeExchange::ScheduleWithdrawal(std::size_t aCall,
                                 std::uint64_t aLink,
                                 Duration aDelay)
{
  At(aDelay, [this, aCall, aLink] {
    const Link& link = m_links[aLink];
    if (m_calls[aCall].m_exchange != link.m_exchange || !link.m_isOpen) {
      return;
    }
    AppendLog("withdraw call=" + std::to_string(aCall));
    const std::size_t node = link.m_node;
    AtNode(node, kLatency, [this, aCall, aLink, node] {
      Apply(node,
            m_nodes[node].m_guard->Withdraw(
              CallerLink(aLink), CallId(aCall), m_now));
    });
  });
}

void
FakeExchange::FailLink(std::size_t aCall, std::uint64_t aLink, LostStage aStage)
{
  const std::uint64_t exchange = m_links[aLink].m_exchange;
  At(kDetection, [this, aCall, aLink, exchange, aStage] {
    m_links[aLink].m_isOpen = false;
    Feed(aCall, exchange, [this, aStage](CallPlan& aPlan) {
      return aPlan.OnLost(aStage, m_now);
    });
  });
}

void
FakeExchange::Deliver(std::uint64_t aLink, const Call& aCall)
{
  const Link& link = m_links[aLink];
  Node& node = m_nodes[link.m_node];
  if (node.m_incarnation == link.m_incarnation) {
    Apply(link.m_node, node.m_guard->Submit(aCall, CallerLink(aLink), m_now));
  }
}

void
FakeExchange::Ask(std::size_t aCall, const AskOperation& aStep)
{
  const std::uint64_t exchange = m_calls[aCall].m_exchange;
  const std::size_t node = IndexOf(*aStep.m_target);
  const AskFault fault = m_faults.OnAsk();
  AppendLog("ask call=" + std::to_string(aCall) + " at " +
            aStep.m_target->m_vm.Value() +
            " fault=" + std::to_string(static_cast<int>(fault)));
  const Question question{ { kCaller, m_calls[aCall].m_spec.m_operation },
                           aStep.m_attempt,
                           aStep.m_target->m_incarnation };
  if (fault != AskFault::None) {
    At(kDetection, [this, aCall, exchange] {
      Feed(aCall, exchange, [this](CallPlan& aPlan) {
        return aPlan.OnAskFailed(m_now);
      });
    });
  }
  if (fault == AskFault::Unreachable) {
    return;
  }
  AtNode(node, kLatency, [this, aCall, exchange, node, question, fault] {
    const AskResult result = m_nodes[node].m_guard->Ask(question, m_now);
    AppendLog("asked call=" + std::to_string(aCall) + " " +
              std::string(Name(result.m_status)));
    if (fault == AskFault::AnswerDropped) {
      return;
    }
    At(kLatency, [this, aCall, exchange, result] {
      Feed(aCall, exchange, [this, &result](CallPlan& aPlan) {
        return aPlan.OnOperationStatus(result.m_status, result.m_answer, m_now);
      });
    });
  });
}

void
FakeExchange::Feed(std::size_t aCall,
                   std::uint64_t aExchange,
                   const std::function<Step(CallPlan&)>& aEvent)
{
  OpenCall& open = m_calls[aCall];
  if (open.m_exchange == aExchange && !open.m_plan->IsFinished()) {
    Perform(aCall, aEvent(*open.m_plan));
  }
}

void
FakeExchange::Finish(std::size_t aCall, const Answer& aAnswer)
{
  const FakeCallSpec& spec = m_calls[aCall].m_spec;
  m_answers[aCall] = aAnswer;
  AppendLog("told call=" + std::to_string(aCall) + " " +
            std::string(Name(aAnswer.m_outcome)) + " " +
            std::string(Name(aAnswer.m_refusal)));
  // The node decided on the refusal kLatency ago; another call with the same
  // key may have run since.
  const auto& runs = m_executions[spec.m_operation];
  const bool hadRun = !runs.empty() && runs.front() < m_now - kLatency;
  if (aAnswer.m_outcome == CallOutcome::NotRun && hadRun) {
    m_violations.push_back("NotRun returned for an executed operation: " +
                           spec.m_operation.Value());
  }
  if (aAnswer.m_outcome == CallOutcome::Done &&
      aAnswer.m_http.m_body != spec.m_operation.Value()) {
    m_violations.push_back("answer of a different call returned for " +
                           spec.m_operation.Value());
  }
}

void
FakeExchange::Apply(std::size_t aNode, const GuardActions& aActions)
{
  for (const struct Run& run : aActions.m_runs) {
    RunUpstream(aNode, run);
  }
  for (const AbortUpstream& abort : aActions.m_aborts) {
    Apply(aNode,
          m_nodes[aNode].m_guard->Finished(abort.m_ticket, Answer{}, m_now));
  }
  for (const Reply& reply : aActions.m_replies) {
    const Link link = m_links[reply.m_link.Value()];
    const Answer answer = reply.m_answer;
    At(kLatency, [this, link, reply, answer] {
      if (link.m_dropsAnswer) {
        FailLink(link.m_call, reply.m_link.Value(), LostStage::Sent);
      } else if (m_links[reply.m_link.Value()].m_isOpen) {
        Feed(link.m_call, link.m_exchange, [&](CallPlan& aPlan) {
          return aPlan.OnAnswer(answer, m_now);
        });
      }
    });
  }
}

void
FakeExchange::RunUpstream(std::size_t aNode, const struct Run& aRun)
{
  const std::size_t call = aRun.m_call.m_id.Value();
  const OperationId operation = aRun.m_call.m_operation;
  AppendLog("run call=" + std::to_string(call) + " " + operation.Value() +
            " at vm-" + std::to_string(aNode));
  m_executions[operation].push_back(m_now);
  if (!aRun.m_call.m_idempotent && Executions(operation) > 1) {
    m_violations.push_back("second execution of " + operation.Value());
  }
  const std::optional<Answer>& previous = m_answers[call];
  if (previous && previous->m_outcome == CallOutcome::NotRun) {
    m_violations.push_back("run after NotRun was returned for " +
                           operation.Value());
  }
  Answer answer;
  answer.m_outcome = CallOutcome::Done;
  answer.m_http.m_status = 200;
  answer.m_http.m_body = aRun.m_call.m_http.m_body;
  const Incarnation incarnation = m_nodes[aNode].m_incarnation;
  AtNode(aNode,
         m_settings.m_serviceTime,
         [this, aNode, incarnation, ticket = aRun.m_ticket, answer] {
           if (m_nodes[aNode].m_incarnation == incarnation) {
             Apply(aNode,
                   m_nodes[aNode].m_guard->Finished(ticket, answer, m_now));
           }
         });
}

std::size_t
FakeExchange::IndexOf(const Target& aTarget) const
{
  return std::stoul(aTarget.m_vm.Value().substr(3));
}

void
FakeExchange::AppendLog(const std::string& aLine)
{
  const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
    m_now.time_since_epoch() - std::chrono::hours(1));
  m_log += std::to_string(time.count()) + " ms " + aLine + "\n";
}

} // namespace tarragontray::testing
