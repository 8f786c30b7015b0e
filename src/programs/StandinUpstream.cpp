#include "programs/StandinUpstream.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include "base/Hash.h"
#include "programs/AnswerBody.h"
#include "programs/StandinReport.h"

namespace tarragontray {

namespace {

using boost::system::error_code;

constexpr auto kAnnouncePeriod = std::chrono::seconds(1);
constexpr auto kAnnounceTimeout = std::chrono::milliseconds(900);
constexpr std::size_t kMaxFillerBytes = 1U << 20U;
constexpr std::size_t kMaxSamples = 100'000;

std::string
Header(const HttpRequestParts& aRequest, std::string_view aName)
{
  for (const HttpHeader& header : aRequest.m_headers) {
    if (header.m_name == aName) {
      return header.m_value;
    }
  }
  return "";
}

std::optional<std::int64_t>
ParseNumber(std::string_view aText)
{
  std::int64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [next, error] = std::from_chars(aText.data(), end, number);
  return error == std::errc() && next == end ? std::optional(number)
                                             : std::nullopt;
}

/// Time until the caller's deadline, when the request states it.
std::optional<Duration>
RemainingTime(const HttpRequestParts& aRequest)
{
  const auto count = ParseNumber(Header(aRequest, "x-time-remaining-ms"));
  return count ? std::optional<Duration>(std::chrono::milliseconds(*count))
               : std::nullopt;
}

/// Bytes of filler requested by the target, limited to kMaxFillerBytes.
std::optional<std::size_t>
RequestedBytes(const std::string& aTarget)
{
  const auto url = boost::urls::parse_origin_form(aTarget);
  if (!url) {
    return std::nullopt;
  }
  const auto parameters = url->params();
  const auto found = parameters.find("bytes");
  if (found == parameters.end()) {
    return std::nullopt;
  }
  const auto count = ParseNumber((*found).value);
  return count && *count >= 0
           ? std::optional(
               std::min(static_cast<std::size_t>(*count), kMaxFillerBytes))
           : std::nullopt;
}

HttpAnswerParts
JsonAnswer(std::uint16_t aStatus, std::string aBody)
{
  return { aStatus,
           { { "content-type", "application/json" } },
           std::move(aBody) };
}

} // namespace

/// Timers of the next announcement and of the linger time of a drain.
struct StandinUpstream::Timers
{
  explicit Timers(boost::asio::io_context& aContext)
    : m_announce(aContext)
    , m_linger(aContext)
  {
  }

  boost::asio::steady_timer m_announce;
  boost::asio::steady_timer m_linger;
};

StandinUpstream::StandinUpstream(boost::asio::io_context& aContext,
                                 const Clock& aClock,
                                 StandinUpstreamSettings aSettings)
  : m_context(aContext)
  , m_clock(aClock)
  , m_settings(std::move(aSettings))
  , m_behaviour(m_settings.m_behaviour, aClock.Now())
  , m_timers(std::make_shared<Timers>(aContext))
{
  m_behaviour.SetRules(m_settings.m_rules, aClock.Now());
}

StandinUpstream::~StandinUpstream() = default;

Result<std::unique_ptr<StandinUpstream>>
StandinUpstream::Create(boost::asio::io_context& aContext,
                        const Clock& aClock,
                        StandinUpstreamSettings aSettings)
{
  std::unique_ptr<StandinUpstream> upstream(
    new StandinUpstream(aContext, aClock, std::move(aSettings)));
  BOOST_OUTCOME_TRY(upstream->Listen());
  if (upstream->m_settings.m_nodeAddress.IsSet()) {
    upstream->m_node = HttpClient::Create(
      aContext, { .m_peer = upstream->m_settings.m_nodeAddress });
    upstream->Announce();
    upstream->ScheduleAnnouncement();
  }
  return upstream;
}

Result<void>
StandinUpstream::Listen()
{
  BOOST_OUTCOME_TRY(m_server,
                    FaultyHttpServer::Listen(
                      m_context,
                      { .m_address = m_settings.m_address },
                      [this](const FaultyHttpServer::Exchange& aExchange) {
                        OnCall(aExchange);
                      }));
  BOOST_OUTCOME_TRY(m_admin,
                    FaultyHttpServer::Listen(
                      m_context,
                      { .m_address = m_settings.m_adminAddress },
                      [this](const FaultyHttpServer::Exchange& aExchange) {
                        OnAdminRequest(aExchange);
                      }));
  return Success();
}

void
StandinUpstream::SetRules(std::vector<FaultRule> aRules)
{
  m_behaviour.SetRules(std::move(aRules), m_clock.Now());
}

void
StandinUpstream::OnCall(const FaultyHttpServer::Exchange& aExchange)
{
  const HttpRequestParts& request = aExchange->Request();
  const ExecutionPlan plan = m_behaviour.Plan(
    request.m_target, RemainingTime(request), m_running, m_clock.Now());
  if (plan.m_isShed || m_isDraining) {
    ++m_shed;
    aExchange->Answer({ 503, { { "x-not-run", "1" } }, "shed\n" });
    return;
  }
  Run(aExchange, plan);
}

void
StandinUpstream::Run(const FaultyHttpServer::Exchange& aExchange,
                     const ExecutionPlan& aPlan)
{
  const HttpRequestParts& request = aExchange->Request();
  const auto attempt = ParseNumber(Header(request, "x-attempt")).value_or(1);
  const std::size_t index =
    m_log.Begin({ OperationId(Header(request, "x-operation-id")),
                  ClientAccountId(Header(request, "x-client-account")),
                  request.m_target,
                  static_cast<std::uint32_t>(attempt) });
  ChangeRunning(1);
  const auto timer =
    std::make_shared<boost::asio::steady_timer>(m_context, aPlan.m_time);
  // The callback must not own the exchange: that would form a cycle.
  aExchange->OnClosed([this, index, timer]() {
    timer->cancel();
    m_log.End(index, ExecutionEnd::Cancelled);
    ChangeRunning(-1);
  });
  timer->async_wait([this, timer, exchange = aExchange, index, aPlan](
                      const error_code& aError) {
    if (!aError && exchange->IsOpen()) {
      Finish(exchange, index, aPlan.m_end);
    }
  });
}

void
StandinUpstream::Finish(const FaultyHttpServer::Exchange& aExchange,
                        std::size_t aIndex,
                        ExecutionEnd aEnd)
{
  m_log.End(aIndex, aEnd);
  ChangeRunning(-1);
  switch (aEnd) {
    case ExecutionEnd::Failed:
      aExchange->Answer({ 500, {}, "failed\n" });
      return;
    case ExecutionEnd::Late:
      aExchange->Answer({ 504, {}, "late\n" });
      return;
    case ExecutionEnd::Cut: {
      HttpAnswerParts answer = MakeAnswer(aExchange->Request());
      const std::size_t half = answer.m_body.size() / 2;
      aExchange->AnswerCut(std::move(answer), half);
      return;
    }
    default:
      aExchange->Answer(MakeAnswer(aExchange->Request()));
  }
}

HttpAnswerParts
StandinUpstream::MakeAnswer(const HttpRequestParts& aRequest) const
{
  const AnswerIdentity identity{ OperationId(
                                   Header(aRequest, "x-operation-id")),
                                 m_settings.m_version,
                                 m_settings.m_vm,
                                 StableHash(aRequest.m_body) };
  const std::size_t bytes =
    RequestedBytes(aRequest.m_target).value_or(m_settings.m_answerBytes);
  return { 200,
           { { "content-type", "text/plain" } },
           MakeAnswerBody(identity, bytes) };
}

void
StandinUpstream::ChangeRunning(int aChange)
{
  m_running = static_cast<std::uint32_t>(static_cast<int>(m_running) + aChange);
  const MonotonicTime now = m_clock.Now();
  if (m_report.m_lag > Duration::zero()) {
    m_samples.push_back({ now, m_running });
  }
  const auto isExpired = [this, now]() {
    return m_samples.size() > kMaxSamples ||
           (m_samples.size() > 1 && m_samples[1].m_time < now - m_report.m_lag);
  };
  while (isExpired()) {
    m_samples.pop_front();
  }
  EndDrainWhenIdle();
}

std::uint32_t
StandinUpstream::ReportedRunning() const
{
  if (m_report.m_running) {
    return *m_report.m_running;
  }
  if (m_report.m_lag == Duration::zero()) {
    return m_running;
  }
  const MonotonicTime asOf = m_clock.Now() - m_report.m_lag;
  const auto found = std::find_if(
    m_samples.rbegin(), m_samples.rend(), [asOf](const LoadSample& aSample) {
      return aSample.m_time <= asOf;
    });
  return found == m_samples.rend() ? 0 : found->m_running;
}

std::string
StandinUpstream::ReportedState() const
{
  if (!m_report.m_state.empty()) {
    return m_report.m_state;
  }
  if (m_isDraining) {
    return "draining";
  }
  return m_behaviour.IsCold(m_clock.Now()) ? "starting" : "live";
}

std::string
StandinUpstream::ReportText() const
{
  return EncodeReport({ { m_settings.m_account, m_settings.m_service },
                        m_settings.m_version,
                        ReportedState(),
                        m_behaviour.Slots(),
                        Address(),
                        ReportedRunning() });
}

std::string
StandinUpstream::CountsText() const
{
  return EncodeCounts({ m_log.Executions().size(),
                        m_log.RepeatedOperations(),
                        m_running,
                        m_shed });
}

void
StandinUpstream::Announce()
{
  if (!m_node || !m_node->IsIdle()) {
    return;
  }
  m_node->Send({ { "POST",
                   "/v1/upstream",
                   { { "content-type", "application/json" } },
                   ReportText() },
                 "upstream.announce",
                 kAnnounceTimeout },
               [this](Result<HttpAnswerParts> aAnswer) {
                 const bool isAccepted =
                   aAnswer && aAnswer.value().m_status == 204;
                 m_announcements += isAccepted ? 1 : 0;
               });
}

void
StandinUpstream::ScheduleAnnouncement()
{
  m_timers->m_announce.expires_after(kAnnouncePeriod);
  m_timers->m_announce.async_wait(
    [this, weak = std::weak_ptr(m_timers)](const error_code& aError) {
      if (aError || weak.expired()) {
        return;
      }
      Announce();
      ScheduleAnnouncement();
    });
}

void
StandinUpstream::Drain(std::function<void()> aDone)
{
  if (m_isDraining) {
    return;
  }
  m_isDraining = true;
  m_drainStart = m_clock.Now();
  m_onDrained = std::move(aDone);
  Announce();
  m_timers->m_linger.expires_after(m_settings.m_lingerTime);
  m_timers->m_linger.async_wait(
    [this, weak = std::weak_ptr(m_timers)](const error_code& aError) {
      if (!aError && !weak.expired()) {
        EndDrainWhenIdle();
      }
    });
}

void
StandinUpstream::EndDrainWhenIdle()
{
  const bool isDrained =
    m_isDraining && m_running == 0 &&
    m_clock.Now() - m_drainStart >= m_settings.m_lingerTime;
  if (isDrained && m_onDrained) {
    std::exchange(m_onDrained, nullptr)();
  }
}

void
StandinUpstream::OnAdminRequest(const FaultyHttpServer::Exchange& aExchange)
{
  const HttpRequestParts& request = aExchange->Request();
  if (request.m_method == "POST") {
    const bool isSet = ApplyAdminPost(request);
    aExchange->Answer(
      JsonAnswer(isSet ? 200 : 400, isSet ? "{}" : R"({"error": "refused"})"));
    return;
  }
  if (request.m_target == "/executions") {
    aExchange->Answer(JsonAnswer(
      200, EncodeExecutions(m_settings.m_vm, m_settings.m_version, m_log)));
  } else if (request.m_target == "/executions/count") {
    aExchange->Answer(JsonAnswer(200, CountsText()));
  } else if (request.m_target == "/load") {
    aExchange->Answer(JsonAnswer(200, ReportText()));
  } else {
    aExchange->Answer(JsonAnswer(404, R"({"error": "no such page"})"));
  }
}

bool
StandinUpstream::ApplyAdminPost(const HttpRequestParts& aRequest)
{
  if (aRequest.m_target == "/faults") {
    auto rules = DecodeFaultRules(aRequest.m_body);
    if (rules) {
      SetRules(std::move(*rules));
    }
    return rules.has_value();
  }
  if (aRequest.m_target == "/report") {
    const auto report = DecodeReportFaults(aRequest.m_body);
    if (report) {
      SetReportFaults(*report);
    }
    return report.has_value();
  }
  const bool isDrain = aRequest.m_target == "/drain";
  if (isDrain) {
    Drain(m_onDrained);
  }
  return isDrain;
}

} // namespace tarragontray
