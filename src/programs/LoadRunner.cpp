#include "programs/LoadRunner.h"

#include <chrono>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/Hash.h"
#include "programs/ExecutionLog.h"
#include "programs/TextFile.h"

namespace tarragontray {

namespace {

/// Added to the timeout of a call, so that the node's response to a call that
/// timed out still arrives.
constexpr auto kAnswerMargin = std::chrono::milliseconds(250);
constexpr auto kLogTimeout = std::chrono::seconds(20);
constexpr ByteCount kMaxLogSize{ 256U << 20U };
/// Makes the random numbers for the choice of nodes independent of those for
/// the arrivals, which use the same seed.
constexpr std::uint64_t kNodeStream = 0x6E6F646573;

MonotonicTime
Now()
{
  return std::chrono::time_point_cast<Duration>(
    std::chrono::steady_clock::now());
}

} // namespace

struct LoadRunner::Operation
{
  OperationId m_id;
  std::size_t m_kind = 0;
  std::size_t m_node = 0;
  MonotonicTime m_intended{};
  /// The second of the run in which the call was intended to start.
  std::uint32_t m_second = 0;
  std::string m_body;
  std::uint32_t m_attempts = 0;
};

struct LoadRunner::Timer
{
  explicit Timer(boost::asio::io_context& aContext)
    : m_timer(aContext)
  {
  }
  boost::asio::steady_timer m_timer;
};

class LoadRunner::Connections
{
public:
  Connections(boost::asio::io_context& aContext,
              NetworkAddress aPeer,
              std::size_t aMaxClients)
    : m_context(aContext)
    , m_peer(aPeer)
    , m_maxClients(aMaxClients)
  {
  }

  void Send(HttpCall aCall, HttpClient::Callback aDone)
  {
    HttpClient* client = Take();
    client->Send(
      std::move(aCall),
      [this, client, done = std::move(aDone)](Result<HttpAnswerParts> aAnswer) {
        m_idle.push_back(client);
        done(std::move(aAnswer));
      });
  }

private:
  /// Returns an idle client or a new one; at the limit, a busy client in
  /// round-robin order, which queues the call.
  HttpClient* Take()
  {
    if (!m_idle.empty()) {
      HttpClient* client = m_idle.back();
      m_idle.pop_back();
      return client;
    }
    if (m_all.size() < m_maxClients) {
      m_all.push_back(HttpClient::Create(
        m_context, { .m_peer = m_peer, .m_resendsGet = false }));
      return m_all.back().get();
    }
    m_lastShared = (m_lastShared + 1) % m_all.size();
    return m_all[m_lastShared].get();
  }

  boost::asio::io_context& m_context;
  const NetworkAddress m_peer;
  const std::size_t m_maxClients;
  std::size_t m_lastShared = 0;
  std::vector<std::unique_ptr<HttpClient>> m_all;
  std::vector<HttpClient*> m_idle;
};

LoadRunner::LoadRunner(boost::asio::io_context& aContext,
                       LoadSettings aSettings)
  : m_context(aContext)
  , m_settings(std::move(aSettings))
  , m_arrivals(m_settings.m_mix, m_settings.m_callsPerSecond, m_settings.m_seed)
  , m_random(m_settings.m_seed ^ kNodeStream)
  , m_report(m_settings.m_mix)
  , m_timer(std::make_unique<Timer>(aContext))
{
  for (const NetworkAddress& node : m_settings.m_nodes) {
    m_connections.push_back(std::make_unique<Connections>(
      aContext, node, m_settings.m_maxConnections));
  }
}

LoadRunner::~LoadRunner() = default;

void
LoadRunner::Start(std::function<void()> aDone)
{
  m_done = std::move(aDone);
  m_start = Now();
  m_run.m_seed = m_settings.m_seed;
  m_run.m_offeredRate = m_settings.m_callsPerSecond;
  m_next = m_arrivals.Next();
  ScheduleNext();
}

void
LoadRunner::Stop()
{
  if (m_next) {
    m_timer->m_timer.cancel();
    m_next.reset();
    EndWhenIdle();
  }
}

void
LoadRunner::AddLog(const std::optional<std::string>& aText)
{
  const auto report = aText ? DecodeExecutions(*aText) : std::nullopt;
  if (report && report->m_dropped == 0) {
    m_audit.Add(*report);
    ++m_run.m_logsRead;
  } else {
    ++m_run.m_logsMissing;
  }
}

void
LoadRunner::ScheduleNext()
{
  const bool isOver = m_next->m_offset >= m_settings.m_duration ||
                      m_run.m_calls >= m_settings.m_maxCalls;
  if (isOver) {
    m_next.reset();
    EndWhenIdle();
    return;
  }
  m_timer->m_timer.expires_at(m_start + m_next->m_offset);
  m_timer->m_timer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError && m_next) {
      SendDue();
    }
  });
}

void
LoadRunner::SendDue()
{
  const Duration passed = Now() - m_start;
  while (m_next->m_offset <= passed &&
         m_next->m_offset < m_settings.m_duration &&
         m_run.m_calls < m_settings.m_maxCalls) {
    Begin(*m_next);
    m_next = m_arrivals.Next();
  }
  ScheduleNext();
}

void
LoadRunner::Begin(const Arrival& aArrival)
{
  const CallKind& kind = m_settings.m_mix[aArrival.m_kind];
  auto operation = std::make_shared<Operation>();
  operation->m_id =
    OperationId(m_settings.m_run + "-" + std::to_string(m_settings.m_seed) +
                "-" + std::to_string(m_run.m_calls));
  operation->m_kind = aArrival.m_kind;
  operation->m_node = m_random.Below(m_connections.size());
  operation->m_intended = m_start + aArrival.m_offset;
  operation->m_second = static_cast<std::uint32_t>(
    std::chrono::duration_cast<std::chrono::seconds>(aArrival.m_offset)
      .count());
  operation->m_body.assign(kind.m_bodyBytes, 'b');
  ++m_run.m_calls;
  ++m_inFlight;
  Send(operation);
}

HttpRequestParts
LoadRunner::MakeRequest(const Operation& aOperation) const
{
  const CallKind& kind = m_settings.m_mix[aOperation.m_kind];
  const auto timeout =
    std::chrono::duration_cast<std::chrono::milliseconds>(kind.m_timeout);
  const char separator =
    kind.m_target.find('?') == std::string::npos ? '?' : '&';
  HttpRequestParts request{
    kind.m_method,
    kind.m_target + separator + "bytes=" + std::to_string(kind.m_answerBytes),
    { { "x-client-account", kind.m_account.Value() },
      { "x-time-remaining-ms", std::to_string(timeout.count()) },
      { "idempotency-key", aOperation.m_id.Value() } },
    aOperation.m_body
  };
  if (m_settings.m_isDirect) {
    request.m_headers.push_back({ "x-operation-id", aOperation.m_id.Value() });
  }
  return request;
}

void
LoadRunner::Send(const std::shared_ptr<Operation>& aOperation)
{
  ++aOperation->m_attempts;
  const CallKind& kind = m_settings.m_mix[aOperation->m_kind];
  m_connections[aOperation->m_node]->Send(
    { MakeRequest(*aOperation), "load.call", kind.m_timeout + kAnswerMargin },
    [this, aOperation](const Result<HttpAnswerParts>& aAnswer) {
      OnAnswer(aOperation, aAnswer);
    });
}

void
LoadRunner::OnAnswer(const std::shared_ptr<Operation>& aOperation,
                     const Result<HttpAnswerParts>& aAnswer)
{
  const SentCall sent{ aOperation->m_id, StableHash(aOperation->m_body) };
  const AnswerVerdict verdict =
    CheckAnswer(sent, aAnswer, m_settings.m_isDirect);
  const CallKind& kind = m_settings.m_mix[aOperation->m_kind];
  m_audit.AddAnswer(aOperation->m_id, kind.m_isIdempotent, verdict.m_kind);
  const bool isUncertain =
    verdict.m_kind == AnswerKind::Lost || verdict.m_kind == AnswerKind::Unknown;
  if (isUncertain && aOperation->m_attempts <= m_settings.m_maxRepeats) {
    ++m_run.m_repeats;
    aOperation->m_node = (aOperation->m_node + 1) % m_connections.size();
    Send(aOperation);
    return;
  }
  m_report.Add(aOperation->m_kind,
               aOperation->m_second,
               Now() - aOperation->m_intended,
               verdict);
  --m_inFlight;
  EndWhenIdle();
}

void
LoadRunner::EndWhenIdle()
{
  if (m_next || m_inFlight > 0) {
    return;
  }
  m_run.m_duration = Now() - m_start;
  ReadLogs();
}

void
LoadRunner::ReadLogs()
{
  for (const std::string& path : m_settings.m_savedLogs) {
    AddLog(ReadWholeFile(path));
  }
  m_pendingLogs = m_settings.m_logs.size();
  if (m_pendingLogs == 0) {
    Finish();
    return;
  }
  for (const NetworkAddress& log : m_settings.m_logs) {
    m_logClients.push_back(HttpClient::Create(
      m_context, { .m_peer = log, .m_maxBody = kMaxLogSize }));
    m_logClients.back()->Send(
      { { "GET", "/executions", {}, "" }, "load.audit", kLogTimeout },
      [this](const Result<HttpAnswerParts>& aAnswer) {
        AddLog(aAnswer ? std::optional(aAnswer.value().m_body) : std::nullopt);
        if (--m_pendingLogs == 0) {
          Finish();
        }
      });
  }
}

void
LoadRunner::Finish()
{
  if (m_run.m_logsRead > 0) {
    m_run.m_audit = m_audit.Check();
  }
  if (m_run.m_logsMissing > 0) {
    // Executions that no log contains may be in a log that could not be read.
    m_run.m_audit.m_missingRuns = 0;
  }
  m_report.Finish(m_run);
  m_done();
}

} // namespace tarragontray
