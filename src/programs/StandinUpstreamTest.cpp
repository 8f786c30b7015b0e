#include "programs/StandinUpstream.h"

#include <chrono>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

#include "base/Hash.h"
#include "programs/AnswerBody.h"

namespace tarragontray {

namespace {

constexpr NetworkAddress kAnyPort(0x7F000001, 0);
constexpr auto kTestLimit = std::chrono::seconds(20);
constexpr auto kLongServiceTime = std::chrono::seconds(60);

StandinUpstreamSettings
TestSettings()
{
  StandinUpstreamSettings settings;
  settings.m_vm = VmId("vm-1");
  settings.m_account = ClientAccountId("mesqel-gate");
  settings.m_service = ServiceName("box-office");
  settings.m_version = UpstreamVersion("v1");
  settings.m_address = kAnyPort;
  settings.m_adminAddress = kAnyPort;
  settings.m_behaviour.m_slots = SlotCount(1);
  settings.m_behaviour.m_serviceTime = std::chrono::milliseconds(1);
  settings.m_lingerTime = Duration::zero();
  return settings;
}

/// A simulated upstream and a client of it on one event loop.
class Fixture
{
public:
  explicit Fixture(const StandinUpstreamSettings& aSettings = TestSettings())
  {
    auto created = StandinUpstream::Create(m_context, m_clock, aSettings);
    cr_assert(created.has_value());
    m_upstream = std::move(created.value());
    m_client =
      HttpClient::Create(m_context, { .m_peer = m_upstream->Address() });
  }

  void Start(HttpClient& aClient,
             HttpRequestParts aRequest,
             std::optional<Result<HttpAnswerParts>>& aEnded)
  {
    aClient.Send({ std::move(aRequest), "test", kTestLimit },
                 [&aEnded](Result<HttpAnswerParts> aAnswer) {
                   aEnded = std::move(aAnswer);
                 });
  }

  Result<HttpAnswerParts> Call(HttpRequestParts aRequest)
  {
    std::optional<Result<HttpAnswerParts>> ended;
    Start(*m_client, std::move(aRequest), ended);
    RunUntil([&ended]() { return ended.has_value(); });
    return std::move(*ended);
  }

  template<typename Predicate>
  void RunUntil(Predicate aDone)
  {
    const auto limit = std::chrono::steady_clock::now() + kTestLimit;
    while (!aDone()) {
      cr_assert(std::chrono::steady_clock::now() < limit,
                "the expected state was not reached within 20 s");
      m_context.run_one_until(limit);
    }
  }

  ExecutionEnd LastEnd() const
  {
    return m_upstream->Log().Executions().back().m_end;
  }

  SystemClock m_clock;
  boost::asio::io_context m_context;
  std::unique_ptr<StandinUpstream> m_upstream;
  std::unique_ptr<HttpClient> m_client;
};

HttpRequestParts
Purchase(const std::string& aOperation, const std::string& aTarget = "/buy")
{
  return { "POST",
           aTarget,
           { { "x-operation-id", aOperation },
             { "x-client-account", "vanua-voice" },
             { "x-attempt", "2" } },
           "seat 7" };
}

std::string
NotRun(const HttpAnswerParts& aAnswer)
{
  for (const HttpHeader& header : aAnswer.m_headers) {
    if (header.m_name == "x-not-run") {
      return header.m_value;
    }
  }
  return "";
}

} // namespace

Test(StandinUpstream, AnswersWithIdentityAndLogsTheExecution)
{
  Fixture fixture;
  const auto answer = fixture.Call(Purchase("op-1", "/buy?bytes=5000"));
  cr_assert_eq(answer.value().m_status, 200);
  const auto identity = ReadAnswerBody(answer.value().m_body);
  cr_assert(identity.has_value());
  cr_assert(*identity == (AnswerIdentity{ OperationId("op-1"),
                                          UpstreamVersion("v1"),
                                          VmId("vm-1"),
                                          StableHash("seat 7") }));
  cr_assert_gt(answer.value().m_body.size(), 5000);
  const Execution& execution = fixture.m_upstream->Log().Executions().at(0);
  cr_assert(execution.m_operation == OperationId("op-1"));
  cr_assert(execution.m_account == ClientAccountId("vanua-voice"));
  cr_assert_eq(execution.m_attempt, 2);
  cr_assert(execution.m_end == ExecutionEnd::Done);
}

Test(StandinUpstream, ShedsOverItsSlotsWithoutRunning)
{
  auto settings = TestSettings();
  settings.m_behaviour.m_serviceTime = kLongServiceTime;
  Fixture fixture(settings);
  const auto second = HttpClient::Create(
    fixture.m_context, { .m_peer = fixture.m_upstream->Address() });
  std::optional<Result<HttpAnswerParts>> first;
  fixture.Start(*second, Purchase("op-1"), first);
  fixture.RunUntil([&]() { return fixture.m_upstream->Running() == 1; });
  const auto shed = fixture.Call(Purchase("op-2"));
  cr_assert_eq(shed.value().m_status, 503);
  cr_assert_eq(NotRun(shed.value()), "1");
  cr_assert_eq(fixture.m_upstream->Log().Executions().size(), 1);
}

Test(StandinUpstream, ClosedConnectionCancelsAndFreesTheSlot)
{
  auto settings = TestSettings();
  settings.m_behaviour.m_serviceTime = kLongServiceTime;
  Fixture fixture(settings);
  std::optional<Result<HttpAnswerParts>> never;
  fixture.Start(*fixture.m_client, Purchase("op-1"), never);
  fixture.RunUntil([&]() { return fixture.m_upstream->Running() == 1; });
  fixture.m_client.reset();
  fixture.RunUntil([&]() { return fixture.m_upstream->Running() == 0; });
  cr_assert(fixture.LastEnd() == ExecutionEnd::Cancelled);
}

Test(StandinUpstream, DeadlineEndsTheExecution)
{
  auto settings = TestSettings();
  settings.m_behaviour.m_serviceTime = kLongServiceTime;
  Fixture fixture(settings);
  HttpRequestParts request = Purchase("op-1");
  request.m_headers.push_back({ "x-time-remaining-ms", "20" });
  cr_assert_eq(fixture.Call(request).value().m_status, 504);
  cr_assert(fixture.LastEnd() == ExecutionEnd::Late);
}

Test(StandinUpstream, DrainShedsNewCallsAndEndsAfterTheRunningOnes)
{
  auto settings = TestSettings();
  settings.m_behaviour.m_slots = SlotCount(2);
  settings.m_behaviour.m_serviceTime = std::chrono::milliseconds(100);
  Fixture fixture(settings);
  const auto second = HttpClient::Create(
    fixture.m_context, { .m_peer = fixture.m_upstream->Address() });
  std::optional<Result<HttpAnswerParts>> running;
  fixture.Start(*second, Purchase("op-1"), running);
  fixture.RunUntil([&]() { return fixture.m_upstream->Running() == 1; });
  bool isDrained = false;
  fixture.m_upstream->Drain([&isDrained]() { isDrained = true; });
  const auto shed = fixture.Call(Purchase("op-2"));
  cr_assert_eq(NotRun(shed.value()), "1");
  fixture.RunUntil([&]() { return isDrained; });
  fixture.RunUntil([&]() { return running.has_value(); });
  cr_assert_eq(running->value().m_status, 200);
}

Test(StandinUpstream, AnnouncesItselfAndItsDrain)
{
  Fixture fixture;
  std::vector<std::string> bodies;
  const auto node = FaultyHttpServer::Listen(
    fixture.m_context,
    { .m_address = kAnyPort },
    [&bodies](const FaultyHttpServer::Exchange& aExchange) {
      cr_assert_eq(aExchange->Request().m_target, "/v1/upstream");
      bodies.push_back(aExchange->Request().m_body);
      aExchange->Answer({ 204, {}, "" });
    });
  auto settings = TestSettings();
  settings.m_nodeAddress = node.value()->Address();
  const auto upstream =
    StandinUpstream::Create(fixture.m_context, fixture.m_clock, settings);
  fixture.RunUntil([&]() { return upstream.value()->Announcements() == 1; });
  cr_assert(bodies.at(0).find(R"("state":"live")") != std::string::npos);
  cr_assert(bodies.at(0).find(R"("slots":1)") != std::string::npos);
  upstream.value()->Drain([]() {});
  fixture.RunUntil([&]() { return upstream.value()->Announcements() == 2; });
  cr_assert(bodies.at(1).find(R"("state":"draining")") != std::string::npos);
}

Test(StandinUpstream, FaultRulesApplyToTheirPathOnly)
{
  Fixture fixture;
  fixture.m_upstream->SetRules(*DecodeFaultRules(
    R"([{"path": "/buy", "fail": 1}, {"path": "/seats", "cut": 1}])"));
  cr_assert_eq(fixture.Call(Purchase("op-1")).value().m_status, 500);
  cr_assert(fixture.LastEnd() == ExecutionEnd::Failed);
  const auto cut = fixture.Call(Purchase("op-2", "/seats"));
  cr_assert(cut.error().Code() == ErrorCode::Closed);
  cr_assert_eq(fixture.Call(Purchase("op-3", "/other")).value().m_status, 200);
}

Test(StandinUpstream, ReportFaultsReplaceRunningAndState)
{
  Fixture fixture;
  fixture.m_client = HttpClient::Create(
    fixture.m_context, { .m_peer = fixture.m_upstream->AdminAddress() });
  const auto set = fixture.Call(
    { "POST", "/report", {}, R"({"running": 99, "state": "starting"})" });
  cr_assert_eq(set.value().m_status, 200);
  const std::string report =
    fixture.Call({ "GET", "/load", {}, "" }).value().m_body;
  cr_assert(report.find(R"("running":99)") != std::string::npos);
  cr_assert(report.find(R"("state":"starting")") != std::string::npos);
}

Test(UpstreamBehaviour, CallsAreSlowerInTheColdPhase)
{
  ManualClock clock;
  UpstreamBehaviourSettings settings;
  settings.m_serviceTime = std::chrono::milliseconds(10);
  settings.m_coldTime = std::chrono::seconds(2);
  settings.m_coldFactor = 100;
  UpstreamBehaviour behaviour(settings, clock.Now());
  const auto cold = behaviour.Plan("/", std::nullopt, 0, clock.Now());
  cr_assert(cold.m_time >= std::chrono::milliseconds(500));
  clock.Advance(std::chrono::seconds(2));
  const auto warm = behaviour.Plan("/", std::nullopt, 0, clock.Now());
  cr_assert(warm.m_time < std::chrono::milliseconds(500));
}

Test(UpstreamBehaviour, SameSeedGivesTheSameTimes)
{
  const MonotonicTime now = ManualClock().Now();
  UpstreamBehaviour first({}, now);
  UpstreamBehaviour second({}, now);
  for (int i = 0; i < 100; ++i) {
    cr_assert(first.Plan("/", std::nullopt, 0, now).m_time ==
              second.Plan("/", std::nullopt, 0, now).m_time);
  }
}

Test(UpstreamFaults, ApplyWithinTheirTimeAndLoadOnly)
{
  const auto rules = DecodeFaultRules(
    R"([{"fail": 0.5, "from_ms": 1000, "until_ms": 2000},
        {"slow": 3, "above_running": 4}, {"slow": 2}])");
  cr_assert(rules.has_value());
  const auto early = FaultsFor(*rules, "/", std::chrono::milliseconds(999), 3);
  cr_assert_eq(early.m_fail, 0);
  cr_assert_eq(early.m_slow, 2);
  const auto later = FaultsFor(*rules, "/", std::chrono::milliseconds(1000), 4);
  cr_assert_eq(later.m_fail, 0.5);
  cr_assert_eq(later.m_slow, 6);
  cr_assert_eq(FaultsFor(*rules, "/", std::chrono::seconds(2), 0).m_fail, 0);
}

Test(UpstreamFaults, RejectsUnknownFieldsAndInvalidValues)
{
  for (const char* text : { "",
                            "{}",
                            "[1]",
                            R"([{"fail": 2}])",
                            R"([{"fail": "x"}])",
                            R"([{"other": 1}])" }) {
    cr_assert(!DecodeFaultRules(text).has_value(), "%s", text);
  }
}

Test(AnswerBody, TruncationAtAnyByteIsDetected)
{
  const std::string body = MakeAnswerBody(
    { OperationId("op"), UpstreamVersion("v1"), VmId("vm"), 7 }, 50);
  cr_assert(ReadAnswerBody(body).has_value());
  for (std::size_t size = 0; size < body.size(); ++size) {
    cr_assert(!ReadAnswerBody(std::string_view(body).substr(0, size)));
  }
  std::string changed = body;
  changed.back() = '#';
  cr_assert(!ReadAnswerBody(changed).has_value());
}

Test(ExecutionLog, ReadsBackAndCountsRepeats)
{
  ExecutionLog log;
  const std::size_t first =
    log.Begin({ OperationId("a"), ClientAccountId("c"), "/x", 1 });
  log.Begin({ OperationId("a"), ClientAccountId("c"), "/x", 2 });
  log.End(first, ExecutionEnd::Late);
  cr_assert_eq(log.RepeatedOperations(), 1);
  const auto report =
    DecodeExecutions(EncodeExecutions(VmId("vm"), UpstreamVersion("v"), log));
  cr_assert_eq(report->m_executions.size(), 2);
  cr_assert(report->m_executions[0].m_end == ExecutionEnd::Late);
  cr_assert_eq(report->m_executions[1].m_attempt, 2);
  cr_assert(!DecodeExecutions("{").has_value());
}

} // namespace tarragontray
