#include "process/FrontThread.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "base/Random.h"
#include "connection/HttpServer.h"
#include "process/ThreadLoop.h"
#include "request/CallPlan.h"
#include "request/CallRunner.h"
#include "request/RetryBudget.h"
#include "request/TwoChoicesBalancing.h"
#include "request/VersionSplitter.h"

namespace tarragontray {

namespace asio = boost::asio;

namespace {

/// Observations wait at most this long for their batch.
constexpr Duration kBatchInterval = std::chrono::milliseconds(100);
constexpr std::size_t kMaxBatch = 1000;
constexpr std::size_t kMaxOperationIdBytes = 128;

const std::string*
FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName)
{
  const auto found =
    std::find_if(aHeaders.begin(), aHeaders.end(), [&](const HttpHeader& aOne) {
      return aOne.m_name == aName;
    });
  return found == aHeaders.end() ? nullptr : &found->m_value;
}

std::uint16_t
StatusOf(const Answer& aAnswer)
{
  if (aAnswer.m_outcome == CallOutcome::Unknown) {
    return 504;
  }
  return aAnswer.m_refusal == RefusalReason::NoRoute ? 404 : 503;
}

Answer
Refusal(RefusalReason aReason)
{
  Answer answer;
  answer.m_outcome = CallOutcome::NotRun;
  answer.m_refusal = aReason;
  return answer;
}

HttpAnswerParts
ToHttp(Answer&& aAnswer)
{
  HttpAnswerParts http;
  if (aAnswer.m_outcome == CallOutcome::Done) {
    http = std::move(aAnswer.m_http);
  } else {
    http = TextAnswer(StatusOf(aAnswer),
                      std::string(Name(aAnswer.m_outcome)) + " " +
                        std::string(Name(aAnswer.m_refusal)) + "\n");
  }
  http.m_headers.push_back(
    { "x-outcome", std::string(Name(aAnswer.m_outcome)) });
  if (aAnswer.m_refusal != RefusalReason::None) {
    http.m_headers.push_back(
      { "x-reason", std::string(Name(aAnswer.m_refusal)) });
  }
  return http;
}

/// A key that can't be kept must not run the call as if it had none.
HttpAnswerParts
BadKeyAnswer()
{
  HttpAnswerParts answer =
    TextAnswer(400, "idempotency-key must have 1 to 128 bytes\n");
  answer.m_headers.push_back({ "x-outcome", "not-run" });
  answer.m_headers.push_back({ "x-reason", "bad-idempotency-key" });
  return answer;
}

/// The time that the caller waits: its header, at most the route's timeout.
Duration
Timeout(const HttpRequestParts& aRequest, const RouteSpec& aRoute)
{
  const std::string* text =
    FindHeader(aRequest.m_headers, "x-time-remaining-ms");
  std::uint32_t milliseconds = 0;
  if (text == nullptr ||
      std::from_chars(text->data(), text->data() + text->size(), milliseconds)
          .ec != std::errc()) {
    return aRoute.m_timeout;
  }
  return std::min<Duration>(std::chrono::milliseconds(milliseconds),
                            aRoute.m_timeout);
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
    , m_balancing(TwoChoicesSettings{ .m_region = aSettings.m_region })
    , m_splitter(m_random)
    , m_retries(RetryBudgetSettings{})
    , m_links(m_loop.Context(), aClock, aSettings.m_links)
    , m_batchTimer(m_loop.Context())
  {
  }

  ~Front() override { Stop(); }

  Result<void> Listen()
  {
    HttpServerSettings settings;
    settings.m_address = m_settings.m_address;
    settings.m_sharesPort = true;
    settings.m_onBegin = [this] { m_inFlight.Begin(); };
    settings.m_onEnd = [this] { m_inFlight.End(); };
    BOOST_OUTCOME_TRY(m_server,
                      HttpServer::Create(m_loop.Context(),
                                         settings,
                                         [this](HttpRequestParts aRequest) {
                                           return Serve(std::move(aRequest));
                                         }));
    m_loop.Start();
    return Success();
  }

  void Publish(std::shared_ptr<const View> aView) override
  {
    m_loop.Post(
      [this, view = std::move(aView)]() mutable { m_view = std::move(view); });
  }

  void Leave() override
  {
    m_loop.Post([this] { m_server->Leave(); });
  }

  void Drain() override
  {
    m_loop.Post([this] { m_server->Drain(); });
  }

  void Stop() override { m_loop.Stop(); }

private:
  asio::awaitable<HttpAnswerParts> Serve(HttpRequestParts aRequest)
  {
    const MonotonicTime start = m_clock.Now();
    const std::shared_ptr<const View> view = m_view;
    const std::string* account =
      FindHeader(aRequest.m_headers, "x-client-account");
    const Configuration* configuration =
      account == nullptr ? nullptr : FindConfiguration(*view, *account);
    const RouteSpec* route =
      configuration == nullptr
        ? nullptr
        : FindRoute(*configuration, aRequest.m_method, aRequest.m_target);
    HttpAnswerParts http;
    if (route == nullptr) {
      http =
        ToHttp(Refusal(configuration == nullptr ? RefusalReason::NoConfiguration
                                                : RefusalReason::NoRoute));
    } else {
      http = co_await ServeRoute(
        std::move(aRequest), *view, *configuration, *route, start);
    }
    co_return http;
  }

  asio::awaitable<HttpAnswerParts> ServeRoute(
    HttpRequestParts aRequest,
    const View& aView,
    const Configuration& aConfiguration,
    const RouteSpec& aRoute,
    MonotonicTime aStart)
  {
    const auto service = aView.m_services.find(aRoute.m_service);
    CallMetrics& metrics = SeriesOf(aConfiguration.m_account, aRoute.m_class);
    if (service == aView.m_services.end()) {
      metrics.Observe(CallOutcome::NotRun, m_clock.Now() - aStart);
      co_return ToHttp(Refusal(RefusalReason::NoTarget));
    }
    const std::string* key = FindHeader(aRequest.m_headers, "idempotency-key");
    if (key != nullptr &&
        (key->empty() || key->size() > kMaxOperationIdBytes)) {
      metrics.Observe(CallOutcome::NotRun, m_clock.Now() - aStart);
      co_return BadKeyAnswer();
    }
    const bool hasKey = key != nullptr;
    TrafficPolicies policies{ m_balancing, m_splitter, m_retries, m_random };
    CallSetup setup{ .m_route = aRoute,
                     .m_service = service->second,
                     .m_operation = hasKey ? OperationId(*key) : NewOperation(),
                     .m_isCallerKey = hasKey,
                     .m_caller = aConfiguration.m_account,
                     .m_priority = PriorityOf(aConfiguration, aRoute.m_class),
                     .m_deadline = aStart + Timeout(aRequest, aRoute),
                     .m_dataCentre = m_settings.m_dataCentre,
                     .m_policies = policies };
    Call call = CallOf(setup);
    call.m_http = std::move(aRequest);
    CallPlan plan = CallPlan::Start(setup);
    Answer answer = co_await RunCall(plan, std::move(call), m_links, m_clock);
    metrics.Observe(answer.m_outcome, m_clock.Now() - aStart);
    if (service->second.m_split.m_move) {
      Report(plan.Observations());
    }
    co_return ToHttp(std::move(answer));
  }

  static Call CallOf(const CallSetup& aSetup)
  {
    Call call;
    call.m_operation = aSetup.m_operation;
    call.m_caller = aSetup.m_caller;
    call.m_service = aSetup.m_route.m_service;
    call.m_route = aSetup.m_route.m_name;
    call.m_class = aSetup.m_route.m_class;
    call.m_priority = aSetup.m_priority;
    call.m_idempotent = aSetup.m_route.m_idempotent;
    return call;
  }

  static const Configuration* FindConfiguration(const View& aView,
                                                const std::string& aAccount)
  {
    const auto found = aView.m_configurations.find(ClientAccountId(aAccount));
    return found == aView.m_configurations.end() ? nullptr
                                                 : found->second.get();
  }

  OperationId NewOperation()
  {
    return OperationId(m_settings.m_vm.Value() + "/" +
                       std::to_string(m_settings.m_incarnation.Value()) + "/" +
                       std::to_string(m_settings.m_index) + "/" +
                       std::to_string(++m_operations));
  }

  /// The thread's own cache in front of the shared series.
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
  ThreadLoop m_loop;
  std::shared_ptr<HttpServer> m_server;

  // Used on the loop's thread only.
  std::shared_ptr<const View> m_view = std::make_shared<View>();
  SeededRandom m_random;
  TwoChoicesBalancing m_balancing;
  VersionSplitter m_splitter;
  RetryBudget m_retries;
  PeerLinks m_links;
  std::map<std::pair<ClientAccountId, ClassName>, CallMetrics*> m_series;
  std::uint64_t m_operations = 0;
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
