#include <chrono>

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

#include "base/Clock.h"
#include "base/Hash.h"
#include "programs/AnswerBody.h"
#include "programs/LoadRunner.h"
#include "programs/StandinUpstream.h"

namespace tarragontray {

namespace {

constexpr NetworkAddress kAnyPort(0x7F000001, 0);
constexpr auto kTestLimit = std::chrono::seconds(30);

std::vector<CallKind>
TestMix()
{
  return *DecodeMix(R"([
    {"name": "seats", "account": "mesqel-gate", "class": "fan",
     "target": "/seats?row=1", "weight": 3, "answer_bytes": 100},
    {"name": "buy", "account": "vanua-voice", "class": "purchase",
     "method": "POST", "target": "/buy", "weight": 1, "idempotent": false,
     "body_bytes": 50}])");
}

HttpAnswerParts
NodeAnswer(std::uint16_t aStatus,
           const std::string& aOutcome,
           std::string aBody)
{
  return { aStatus, { { "x-outcome", aOutcome } }, std::move(aBody) };
}

std::string
BodyFor(const std::string& aOperation, std::uint64_t aRequestHash = 7)
{
  return MakeAnswerBody({ OperationId(aOperation),
                          UpstreamVersion("v2"),
                          VmId("vm-1"),
                          aRequestHash },
                        64);
}

AnswerKind
Classify(const Result<HttpAnswerParts>& aAnswer)
{
  return CheckAnswer({ OperationId("op"), 7 }, aAnswer, false).m_kind;
}

void
RunUntil(boost::asio::io_context& aContext, const bool& aIsDone)
{
  const auto limit = std::chrono::steady_clock::now() + kTestLimit;
  while (!aIsDone) {
    cr_assert(std::chrono::steady_clock::now() < limit, "no progress");
    aContext.run_one_until(limit);
  }
}

ExecutionReport
ReportWithRuns(const std::string& aOperation, std::size_t aCount)
{
  ExecutionReport report;
  report.m_executions.assign(
    aCount, { OperationId(aOperation), {}, "/", 1, ExecutionEnd::Done });
  return report;
}

} // namespace

Test(LoadMix, RejectsInvalidMixes)
{
  for (const char* text :
       { "",
         "[]",
         R"([{"name": "a", "account": "b", "target": "no-slash"}])",
         R"([{"name": "a", "account": "b", "target": "/", "weight": 0}])",
         R"([{"name": "a", "account": "b", "target": "/", "weight": -1}])",
         R"([{"name": "a", "account": "b", "target": "/", "colour": 1}])" }) {
    cr_assert(!DecodeMix(text).has_value(), "%s", text);
  }
}

Test(LoadMix, ArrivalsFollowRateWeightsAndSeed)
{
  constexpr int kArrivals = 40'000;
  constexpr double kRate = 500;
  ArrivalSequence first(TestMix(), kRate, 3);
  ArrivalSequence second(TestMix(), kRate, 3);
  double buys = 0;
  Arrival last;
  for (int i = 0; i < kArrivals; ++i) {
    last = first.Next();
    const Arrival same = second.Next();
    cr_assert(last.m_offset == same.m_offset && last.m_kind == same.m_kind);
    buys += last.m_kind == 1 ? 1 : 0;
  }
  const double seconds = std::chrono::duration<double>(last.m_offset).count();
  cr_assert_float_eq(seconds, kArrivals / kRate, 2.0);
  cr_assert_float_eq(buys / kArrivals, 0.25, 0.01);
}

Test(AnswerCheck, ClassifiesIntactAndWrongAnswers)
{
  const std::string body = BodyFor("op");
  cr_assert(Classify(NodeAnswer(200, "done", body)) == AnswerKind::Done);
  cr_assert(Classify(NodeAnswer(200, "done", body.substr(1))) ==
            AnswerKind::Wrong);
  cr_assert(Classify(NodeAnswer(200, "done", BodyFor("other"))) ==
            AnswerKind::Wrong);
  cr_assert(Classify(NodeAnswer(200, "done", BodyFor("op", 8))) ==
            AnswerKind::Wrong);
  cr_assert(Classify(NodeAnswer(200, "", body)) == AnswerKind::Wrong);
  cr_assert(Classify(NodeAnswer(500, "done", "failed")) == AnswerKind::Failed);
  cr_assert(Classify(NodeAnswer(503, "not-run", "")) == AnswerKind::NotRun);
  cr_assert(Classify(NodeAnswer(504, "unknown", "")) == AnswerKind::Unknown);
  cr_assert(Classify(Error(ErrorCode::Closed, "", "", "")) == AnswerKind::Lost);
}

Test(ExecutionAudit, FindsDoubledRunsOfNonIdempotentOperationsOnly)
{
  ExecutionAudit audit;
  audit.AddAnswer(OperationId("buy"), false, AnswerKind::Done);
  audit.AddAnswer(OperationId("seats"), true, AnswerKind::Done);
  audit.Add(ReportWithRuns("buy", 1));
  audit.Add(ReportWithRuns("seats", 2));
  cr_assert_eq(audit.Check().m_doubledRuns, 0);
  audit.Add(ReportWithRuns("buy", 1));
  cr_assert_eq(audit.Check().m_doubledRuns, 1);
}

Test(ExecutionAudit, FindsFalseNotRunAndMissingRuns)
{
  ExecutionAudit audit;
  audit.AddAnswer(OperationId("refused"), false, AnswerKind::NotRun);
  audit.AddAnswer(OperationId("open"), false, AnswerKind::Unknown);
  audit.AddAnswer(OperationId("open"), false, AnswerKind::NotRun);
  audit.AddAnswer(OperationId("done"), false, AnswerKind::Done);
  audit.Add(ReportWithRuns("open", 1));
  cr_assert_eq(audit.Check().m_falseNotRun, 0);
  cr_assert_eq(audit.Check().m_missingRuns, 1);
  cr_assert_eq(audit.Check().m_unknownThatRan, 1);
  audit.AddAnswer(OperationId("failed"), false, AnswerKind::Failed);
  audit.Add(ReportWithRuns("failed", 1));
  cr_assert_eq(audit.Check().m_unknownThatRan, 1);
  audit.Add(ReportWithRuns("refused", 1));
  cr_assert_eq(audit.Check().m_falseNotRun, 1);
}

Test(RunReport, PercentilesAreExact)
{
  std::vector<std::uint32_t> samples;
  for (std::uint32_t i = 1; i <= 1000; ++i) {
    samples.push_back(i);
  }
  cr_assert_eq(Percentile(samples, 0.5), 500);
  cr_assert_eq(Percentile(samples, 0.99), 990);
  cr_assert_eq(Percentile(samples, 1), 1000);
  cr_assert_eq(Percentile({}, 0.5), 0);
}

Test(LoadRunner, LatencyIsMeasuredFromTheIntendedTime)
{
  boost::asio::io_context context;
  const SystemClock clock;
  StandinUpstreamSettings upstreamSettings;
  upstreamSettings.m_version = UpstreamVersion("v1");
  upstreamSettings.m_vm = VmId("vm-1");
  upstreamSettings.m_address = kAnyPort;
  upstreamSettings.m_adminAddress = kAnyPort;
  upstreamSettings.m_behaviour.m_serviceTime = std::chrono::milliseconds(20);
  const auto upstream =
    StandinUpstream::Create(context, clock, upstreamSettings);
  LoadSettings settings;
  settings.m_mix = TestMix();
  settings.m_mix.resize(1);
  settings.m_mix[0].m_timeout = kTestLimit;
  settings.m_nodes = { upstream.value()->Address() };
  settings.m_isDirect = true;
  settings.m_callsPerSecond = 10'000;
  settings.m_maxCalls = 20;
  settings.m_maxConnections = 1;
  LoadRunner runner(context, settings);
  bool isDone = false;
  runner.Start([&isDone]() { isDone = true; });
  RunUntil(context, isDone);
  // The twenty calls queue on one connection and take at least 10 ms each, so
  // the last one ends at least 180 ms after its intended time. Latency measured
  // from the actual send would be far lower.
  const std::string text = runner.Report().Text();
  const std::size_t position = text.find("max_us=");
  cr_assert_neq(position, std::string::npos);
  cr_assert_geq(std::stoul(text.substr(position + 7)), 180'000);
  cr_assert_eq(runner.Report().Count(AnswerKind::Done), 20);
}

Test(LoadRunner, ChecksAndAuditsEveryCallOfADirectRun)
{
  boost::asio::io_context context;
  const SystemClock clock;
  StandinUpstreamSettings upstreamSettings;
  upstreamSettings.m_vm = VmId("vm-1");
  upstreamSettings.m_version = UpstreamVersion("v1");
  upstreamSettings.m_address = kAnyPort;
  upstreamSettings.m_adminAddress = kAnyPort;
  upstreamSettings.m_behaviour.m_slots = SlotCount(2);
  upstreamSettings.m_behaviour.m_serviceTime = std::chrono::milliseconds(2);
  const auto upstream =
    StandinUpstream::Create(context, clock, upstreamSettings);
  upstream.value()->SetRules(
    *DecodeFaultRules(R"([{"path": "/seats", "fail": 0.2, "cut": 0.2}])"));

  LoadSettings settings;
  settings.m_mix = TestMix();
  settings.m_nodes = { upstream.value()->Address() };
  settings.m_logs = { upstream.value()->AdminAddress() };
  settings.m_isDirect = true;
  settings.m_callsPerSecond = 1000;
  settings.m_maxCalls = 300;
  LoadRunner runner(context, settings);
  bool isDone = false;
  runner.Start([&isDone]() { isDone = true; });
  RunUntil(context, isDone);
  const RunReport& report = runner.Report();
  cr_assert(report.IsClean());
  cr_assert_eq(report.Run().m_calls, 300);
  std::uint64_t answers = 0;
  for (std::size_t i = 0; i < kAnswerKinds; ++i) {
    answers += report.Count(static_cast<AnswerKind>(i));
  }
  cr_assert_eq(answers, 300);
  cr_assert_gt(report.Count(AnswerKind::Done), 0);
  cr_assert_gt(report.Count(AnswerKind::Failed), 0);
  cr_assert_gt(report.Count(AnswerKind::Lost), 0);
  cr_assert_eq(report.Run().m_audit.m_missingRuns, 0);
  cr_assert_eq(report.Count(AnswerKind::NotRun), upstream.value()->ShedCalls());
  cr_assert(runner.Report().Json().find(R"("p99_us":)") != std::string::npos);
}

} // namespace tarragontray
