#include "process/FrontThread.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "base/Random.h"
#include "connection/HttpServer.h"
#include "process/AccountGate.h"
#include "process/Log.h"
#include "process/ThreadLoop.h"
#include "request/CallPlan.h"
#include "request/CallRunner.h"
#include "request/RetryAfter.h"
#include "request/RetryBudget.h"
#include "request/ServiceSplitter.h"
#include "request/TwoChoicesBalancing.h"
#include "request/VersionSplitter.h"

namespace tarragontray {

namespace asio = boost::asio;

namespace {

/// Longest delay before an observation is sent to the control thread.
constexpr Duration kBatchInterval = std::chrono::milliseconds(50);
constexpr std::size_t kMaxBatch = 1000;
constexpr std::size_t kMaxTrackedRoutes = 4096;
constexpr std::uint16_t kFirstServerError = 500;
constexpr char kPart[] = "front";
/// Margin between the deadline of the last calls and the end of the node, in
/// which their answers are written.
constexpr Duration kShutdownMargin = std::chrono::milliseconds(200);
/// The account of a call and whether the call may be made.
struct Identification
{
  /// Null for an anonymous call.
  const CallerAccount* m_account = nullptr;
  bool m_isAccepted = true;
};

/// A presented API key must be valid, also on a route that needs none.
Identification
IdentifyCaller(const Configuration& aConfiguration,
               const RouteSpec& aRoute,
               const CallerCredential& aCredential)
{
  Identification result;
  if (aConfiguration.m_callers.empty()) {
    return result;
  }
  if (aCredential.m_kind == CallerCredential::Kind::ApiKey) {
    result.m_account = FindCaller(aConfiguration, aCredential.m_key);
  }
  const bool isAnonymous =
    aCredential.m_kind == CallerCredential::Kind::Absent &&
    aRoute.m_allowsAnonymous;
  result.m_isAccepted = result.m_account != nullptr || isAnonymous;
  return result;
}

std::uint8_t
PriorityOf(const Configuration& aConfiguration, const ClassName& aClass)
{
  for (const CallerClass& callerClass : aConfiguration.m_classes) {
    if (callerClass.m_name == aClass) {
      return callerClass.m_priority;
    }
  }
  return 0;
}

/// What the configuration says about one call; valid while its view is held.
struct CallContext
{
  const Configuration& m_configuration;
  const RouteSpec& m_route;
  /// Null for an anonymous call.
  const CallerAccount* m_account = nullptr;

  const ClientAccountId& Account() const
  {
    return m_account == nullptr ? m_configuration.m_account : m_account->m_id;
  }
  std::uint8_t Priority() const
  {
    return m_account != nullptr && m_account->m_priority
             ? *m_account->m_priority
             : PriorityOf(m_configuration, m_route.m_class);
  }
};

class Front final : public FrontThread
{
public:
  Front(const FrontSettings& aSettings,
        const Clock& aClock,
        Metrics& aMetrics,
        IdleSignal& aInFlight,
        OnBatch aOnBatch)
    : m_settings(aSettings)
    , m_clock(aClock)
    , m_metrics(aMetrics)
    , m_inFlight(aInFlight)
    , m_onBatch(std::move(aOnBatch))
    , m_loop("front-" + std::to_string(aSettings.m_index))
    , m_random(aSettings.m_seed)
    , m_balancing(TwoChoicesSettings{ .m_vm = aSettings.m_vm,
                                      .m_region = aSettings.m_region })
    , m_versionSplitter(m_random)
    , m_serviceSplitter(m_random)
    , m_retries(aSettings.m_retries)
    , m_links(m_loop.Context(), aClock, aSettings.m_links)
    , m_batchTimer(m_loop.Context())
  {
  }

  ~Front() override { Stop(); }

  Result<void> Listen()
  {
    AccountGateSettings accounts;
    accounts.m_tokens.m_vm = m_settings.m_vm;
    accounts.m_tokens.m_incarnation = m_settings.m_incarnation;
    accounts.m_tokens.m_front = m_settings.m_index;
    accounts.m_tokens.m_fronts = m_settings.m_count;
    accounts.m_tokens.m_rates = m_settings.m_rates;
    accounts.m_freshness = m_settings.m_freshness;
    accounts.m_onConfirmed = m_settings.m_onConfirmed;
    accounts.m_onNeedsRead = m_settings.m_onNeedsRead;
    BOOST_OUTCOME_TRY(
      m_accounts,
      AccountGate::Create(
        m_loop.Context(), m_clock, m_links, m_random, accounts));
    HttpServerSettings settings;
    settings.m_address = m_settings.m_address;
    settings.m_sharesPort = true;
    settings.m_onBegin = [this] { m_inFlight.Begin(); };
    settings.m_onEnd = [this] { m_inFlight.End(); };
    settings.m_onDrained = [this] {
      Log(LogLevel::Info, kPart, "Front drained.");
      m_draining.End();
    };
    settings.m_budget = m_settings.m_callers.m_budget;
    settings.m_maxHeaderFields = m_settings.m_callers.m_maxHeaderFields;
    settings.m_maxPipelinedBytes = m_settings.m_callers.m_maxPipelined.Value();
    settings.m_counters = m_settings.m_callers.m_counters;
    settings.m_onLimited = LogLimited;
    BOOST_OUTCOME_TRY(m_server,
                      HttpServer::Create(m_loop.Context(),
                                         settings,
                                         [this](HttpRequestParts aRequest) {
                                           return Serve(std::move(aRequest));
                                         }));
    m_loop.Start();
    return Success();
  }

  NetworkAddress Address() const override { return m_server->Address(); }

  void Publish(std::shared_ptr<const View> aView) override
  {
    m_loop.Post([this, view = std::move(aView)]() mutable {
      m_view = std::move(view);
      m_retries.SetNodeCount(m_view->m_nodes);
      ApplyCallerLimits();
      m_accounts->Publish(m_view->m_accounts);
    });
  }

  void Confirm(const Confirmation& aConfirmation) override
  {
    m_loop.Post([this, aConfirmation] { m_accounts->Confirm(aConfirmation); });
  }

  void Leave(MonotonicTime aEnd) override
  {
    m_loop.Post([this, aEnd] {
      m_end = aEnd - kShutdownMargin;
      m_server->Leave();
    });
  }

  void Drain() override
  {
    // Begins here and not on the loop: otherwise WaitForSessions could return
    // before the loop has run the task.
    m_draining.Begin();
    m_loop.Post([this] {
      m_isDraining = true;
      Log(LogLevel::Info,
          kPart,
          "Front draining.",
          { { "sessions", std::to_string(m_server->OpenSessions()) } });
      m_server->Drain();
    });
  }

  bool WaitForSessions(Duration aLimit) override
  {
    return m_draining.WaitFor(aLimit);
  }

  void Stop() override { m_loop.Stop(); }

private:
  static void LogLimited(const CallerLimitCounters& aCounters)
  {
    const auto text = [](const std::atomic<std::uint64_t>& aCount) {
      return std::to_string(aCount.load());
    };
    Log(LogLevel::Warning,
        kPart,
        "Callers limited.",
        { { "sessions", text(aCounters.m_sessions) },
          { "held_bytes", text(aCounters.m_heldBytes) },
          { "closed_for_memory", text(aCounters.m_closedForMemory) },
          { "refused_for_memory", text(aCounters.m_refusedForMemory) },
          { "oversized", text(aCounters.m_oversized) },
          { "slow", text(aCounters.m_slow) },
          { "surplus_sessions", text(aCounters.m_surplusSessions) } });
  }

  asio::awaitable<HttpAnswerParts> Serve(HttpRequestParts aRequest)
  {
    const MonotonicTime start = m_clock.Now();
    const CallerDialect& dialect = *m_settings.m_dialect;
    Result<CallerRequest> caller = dialect.Read(aRequest);
    if (!caller) {
      co_return dialect.Reject(caller.error());
    }
    // Keeps the configuration and the targets alive for the whole call.
    const std::shared_ptr<const View> view = m_view;
    const Configuration* configuration =
      FindConfiguration(*view, caller.value().m_account);
    const RouteSpec* route = configuration == nullptr
                               ? nullptr
                               : FindRoute(*configuration,
                                           aRequest.m_method,
                                           aRequest.m_target,
                                           caller.value().m_host);
    if (route == nullptr) {
      co_return Write(caller.value(),
                      Refusal(configuration == nullptr
                                ? RefusalReason::NoConfiguration
                                : RefusalReason::NoRoute));
    }
    if (!configuration->m_callers.empty() &&
        caller.value().m_credential.m_kind == CallerCredential::Kind::ApiKey &&
        !m_accounts->IsFresh()) {
      // A key that is unknown here may have been added, so that this goes
      // before the identification.
      co_return Refuse(caller.value(),
                       RefusalReason::StaleConfiguration,
                       m_accounts->RetryWhenStale());
    }
    const Identification identity =
      IdentifyCaller(*configuration, *route, caller.value().m_credential);
    if (!identity.m_isAccepted) {
      co_return Write(caller.value(), Refusal(RefusalReason::UnknownCaller));
    }
    if (!configuration->m_callers.empty()) {
      dialect.Identify(identity.m_account == nullptr ? ClientAccountId()
                                                     : identity.m_account->m_id,
                       aRequest);
    }
    const CallContext context{ *configuration, *route, identity.m_account };
    Admission admission;
    if (identity.m_account != nullptr && identity.m_account->m_rate) {
      const Duration timeout =
        std::min(caller.value().m_timeRemaining.value_or(route->m_timeout),
                 route->m_timeout);
      admission = co_await m_accounts->Admit(*identity.m_account, timeout);
      if (!admission.m_isAdmitted) {
        co_return Refuse(
          caller.value(), RefusalReason::AccountRate, admission.m_retryAfter);
      }
    }
    Answer answer = co_await ServeRoute(
      std::move(aRequest), caller.value(), *view, context, start);
    if (answer.m_outcome == CallOutcome::NotRun && admission.m_permit) {
      m_accounts->Return(*identity.m_account, admission);
    }
    SeriesOf(context.Account(), route->m_class)
      .Observe(answer.m_outcome, m_clock.Now() - start);
    co_return Write(caller.value(), std::move(answer));
  }

  asio::awaitable<Answer> ServeRoute(HttpRequestParts aRequest,
                                     const CallerRequest& aCaller,
                                     const View& aView,
                                     const CallContext& aContext,
                                     MonotonicTime aStart)
  {
    const RouteSpec& route = aContext.m_route;
    const auto service = aView.m_services.find(m_serviceSplitter.Choose(route));
    if (service == aView.m_services.end()) {
      co_return Refusal(RefusalReason::NoTarget);
    }
    TrafficPolicies policies{ .m_balancing = m_balancing,
                              .m_splitter = m_versionSplitter,
                              .m_retries = m_retries,
                              .m_random = m_random,
                              .m_refusals = &m_refusals };
    const Duration timeout = std::min(
      aCaller.m_timeRemaining.value_or(route.m_timeout), route.m_timeout);
    if (m_isDraining && aStart + timeout > m_end) {
      // Its target might still be at work when this process ends.
      co_return Refusal(RefusalReason::Draining);
    }
    CallSetup setup{ .m_route = route,
                     .m_service = service->second,
                     .m_operation = aCaller.m_operation.IsEmpty()
                                      ? NewOperation()
                                      : aCaller.m_operation,
                     .m_isCallerKey = aCaller.m_isCallerKey,
                     .m_caller = aContext.Account(),
                     .m_priority = aContext.Priority(),
                     .m_deadline = std::min(aStart + timeout, m_end),
                     .m_dataCentre = m_settings.m_dataCentre,
                     .m_policies = policies,
                     .m_objective = Objective(aCaller, route, aStart),
                     .m_bodyBytes = ByteCount(aRequest.m_body.size()) };
    Call call = MakeCall(setup);
    call.m_origin = m_settings.m_origin;
    call.m_http = std::move(aRequest);
    CallPlan plan = CallPlan::Start(setup);
    Answer answer = co_await RunCall(plan, std::move(call), m_links, m_clock);
    if (answer.m_outcome == CallOutcome::NotRun) {
      answer.m_retryAfter = RetryAfter(
        answer.m_refusal, TimesOf(setup, answer.m_retryAfter), m_random);
    }
    if (service->second.m_split.m_move) {
      Report(plan.Observations());
    }
    LogEnd(setup, plan, answer, aStart);
    co_return answer;
  }

  Answer Refusal(RefusalReason aReason)
  {
    Answer answer;
    answer.m_outcome = CallOutcome::NotRun;
    answer.m_refusal = aReason;
    answer.m_retryAfter = RetryAfter(aReason, {}, m_random);
    return answer;
  }

  RefusedCallTimes TimesOf(const CallSetup& aSetup, Duration aStated) const
  {
    if (aSetup.m_objective == MonotonicTime::max()) {
      return { .m_stated = aStated };
    }
    const MonotonicTime now = m_clock.Now();
    return { .m_stated = aStated,
             .m_timeLeft = aSetup.m_deadline - now,
             .m_timeToObjective =
               std::max(aSetup.m_objective - now, Duration(0)) };
  }

  HttpAnswerParts Refuse(const CallerRequest& aCaller,
                         RefusalReason aReason,
                         Duration aRetryAfter)
  {
    m_metrics.CountRefusal(aReason);
    Answer answer = Refusal(aReason);
    answer.m_retryAfter = aRetryAfter;
    return Write(aCaller, std::move(answer));
  }

  HttpAnswerParts Write(const CallerRequest& aCaller, Answer aAnswer)
  {
    if (aAnswer.m_outcome == CallOutcome::NotRun) {
      if (aAnswer.m_refusal == RefusalReason::NoConfiguration ||
          aAnswer.m_refusal == RefusalReason::NoRoute ||
          aAnswer.m_refusal == RefusalReason::UnknownCaller) {
        Log(LogLevel::Info,
            kPart,
            "Call refused.",
            { { "id", aCaller.m_operation.Value() },
              { "host", aCaller.m_host },
              { "reason", std::string(Name(aAnswer.m_refusal)) } });
      }
    }
    return m_settings.m_dialect->Write(std::move(aAnswer));
  }

  /// Logs the end of a call: at info level when it failed, else at debug level.
  void LogEnd(const CallSetup& aSetup,
              const CallPlan& aPlan,
              const Answer& aAnswer,
              MonotonicTime aStart)
  {
    const bool isSuccess = aAnswer.m_outcome == CallOutcome::Done &&
                           aAnswer.m_http.m_status < kFirstServerError;
    const LogLevel level = isSuccess ? LogLevel::Debug : LogLevel::Info;
    if (!IsLogged(level)) {
      return;
    }
    Log(level,
        kPart,
        "Call ended.",
        { { "id", aSetup.m_operation.Value() },
          { "route", aSetup.m_route.m_name.Value() },
          { "class", aSetup.m_route.m_class.Value() },
          { "service", aSetup.m_service.m_id.m_name.Value() },
          { "outcome", std::string(Name(aAnswer.m_outcome)) },
          { "reason", std::string(Name(aAnswer.m_refusal)) },
          { "status", std::to_string(aAnswer.m_http.m_status) },
          { "attempts", std::to_string(aPlan.Attempts()) },
          { "target", aPlan.LastTarget().Value() },
          { "took_ms", Milliseconds(m_clock.Now() - aStart) },
          { "left_ms", Milliseconds(aSetup.m_deadline - m_clock.Now()) },
          { "retry_after_ms", Milliseconds(aAnswer.m_retryAfter) } });
  }

  /// Returns the time by which the call should complete, max() when its route
  /// has no objective. A caller that retries after a refusal states less
  /// remaining time than at first. How long it has waited already is estimated
  /// from the longest time that any caller of the route has stated.
  MonotonicTime Objective(const CallerRequest& aCaller,
                          const RouteSpec& aRoute,
                          MonotonicTime aStart)
  {
    if (aRoute.m_objective == Duration::zero()) {
      return MonotonicTime::max();
    }
    if (!aCaller.m_timeRemaining) {
      return aStart + aRoute.m_objective;
    }
    if (m_maxTimeRemaining.size() >= kMaxTrackedRoutes &&
        !m_maxTimeRemaining.contains(aRoute.m_name)) {
      m_maxTimeRemaining.clear();
    }
    Duration& longest = m_maxTimeRemaining[aRoute.m_name];
    longest = std::max(longest, *aCaller.m_timeRemaining);
    return aStart + aRoute.m_objective - (longest - *aCaller.m_timeRemaining);
  }

  static Call MakeCall(const CallSetup& aSetup)
  {
    Call call;
    call.m_operation = aSetup.m_operation;
    call.m_caller = aSetup.m_caller;
    call.m_service = aSetup.m_service.m_id;
    call.m_route = aSetup.m_route.m_name;
    call.m_class = aSetup.m_route.m_class;
    call.m_priority = aSetup.m_priority;
    call.m_idempotent = aSetup.m_route.m_idempotent;
    return call;
  }

  static const Configuration* FindConfiguration(const View& aView,
                                                const ClientAccountId& aAccount)
  {
    const auto found = aView.m_configurations.find(aAccount);
    return found == aView.m_configurations.end() ? nullptr
                                                 : found->second.get();
  }

  /// Applies caller limits to the listener. It serves all accounts, so the
  /// first configuration that sets limits determines them.
  void ApplyCallerLimits()
  {
    for (const auto& [account, configuration] : m_view->m_configurations) {
      if (configuration->m_callerLimits) {
        const CallerLimits& limits = *configuration->m_callerLimits;
        m_server->SetLimits(
          { .m_maxHeaderBytes =
              static_cast<std::uint32_t>(limits.m_headerBytes.Value()),
            .m_maxBodyBytes =
              std::min(limits.m_bodyBytes.Value(), kMaxCallBytes.Value()),
            .m_idleLimit = limits.m_idleTimeout,
            .m_requestLimit = limits.m_requestTimeout });
        return;
      }
    }
  }

  OperationId NewOperation()
  {
    return OperationId(m_settings.m_vm.Value() + "/" +
                       std::to_string(m_settings.m_incarnation.Value()) + "/" +
                       std::to_string(m_settings.m_index) + "/" +
                       std::to_string(++m_operations));
  }

  /// Looks the series up in a cache of this thread, which avoids the lock of
  /// the shared table.
  CallMetrics& SeriesOf(const ClientAccountId& aAccount,
                        const ClassName& aClass)
  {
    CallMetrics*& series = m_series[{ aAccount, aClass }];
    if (series == nullptr) {
      series = &m_metrics.Calls(aAccount, aClass);
    }
    return *series;
  }

  void Report(const std::vector<AttemptObservation>& aObservations)
  {
    if (aObservations.empty()) {
      return;
    }
    auto& batch = m_batch.m_observations;
    if (batch.empty()) {
      m_batchTimer.expires_after(kBatchInterval);
      m_batchTimer.async_wait([this](const auto& aError) {
        if (!aError) {
          SendBatch();
        }
      });
    }
    batch.insert(batch.end(), aObservations.begin(), aObservations.end());
    if (batch.size() >= kMaxBatch) {
      SendBatch();
    }
  }

  void SendBatch() { m_onBatch(std::exchange(m_batch, ObservationBatch())); }

  FrontSettings m_settings;
  const Clock& m_clock;
  Metrics& m_metrics;
  IdleSignal& m_inFlight;
  OnBatch m_onBatch;
  /// Busy from Drain until the last session has ended.
  IdleSignal m_draining;
  ThreadLoop m_loop;
  std::shared_ptr<HttpServer> m_server;

  // Accessed on the loop's thread only.
  std::shared_ptr<const View> m_view = std::make_shared<View>();
  SeededRandom m_random;
  TwoChoicesBalancing m_balancing;
  VersionSplitter m_versionSplitter;
  ServiceSplitter m_serviceSplitter;
  RetryBudget m_retries;
  RefusalMemory m_refusals;
  PeerLinks m_links;
  /// Set by Listen.
  std::shared_ptr<AccountGate> m_accounts;
  std::map<std::pair<ClientAccountId, ClassName>, CallMetrics*> m_series;
  /// The longest remaining time that callers of each route have stated.
  std::unordered_map<RouteName, Duration> m_maxTimeRemaining;
  std::uint64_t m_operations = 0;
  bool m_isDraining = false;
  /// Upper bound of all call deadlines; set by Leave.
  MonotonicTime m_end = MonotonicTime::max();
  ObservationBatch m_batch;
  asio::steady_timer m_batchTimer;
};

} // namespace

Result<std::unique_ptr<FrontThread>>
FrontThread::Create(const FrontSettings& aSettings,
                    const Clock& aClock,
                    Metrics& aMetrics,
                    IdleSignal& aInFlight,
                    OnBatch aOnBatch)
{
  auto front = std::make_unique<Front>(
    aSettings, aClock, aMetrics, aInFlight, std::move(aOnBatch));
  BOOST_OUTCOME_TRY(front->Listen());
  return std::unique_ptr<FrontThread>(std::move(front));
}

} // namespace tarragontray
