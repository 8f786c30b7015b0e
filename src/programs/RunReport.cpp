#include "programs/RunReport.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include <boost/json.hpp>

#include "version/EvidenceReport.h"

namespace tarragontray {

namespace {

namespace json = boost::json;

constexpr std::size_t kMaxExamples = 10;
constexpr std::size_t kMaxRefusalReasons = 32;
constexpr double kPercentiles[] = { 0.5, 0.9, 0.99, 0.999, 1 };
constexpr const char* kPercentileNames[] = { "p50_us",
                                             "p90_us",
                                             "p99_us",
                                             "p999_us",
                                             "max_us" };

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

json::object
PercentilesJson(const std::vector<std::uint32_t>& aSorted)
{
  json::object percentiles;
  for (std::size_t i = 0; i < std::size(kPercentiles); ++i) {
    percentiles[kPercentileNames[i]] = Percentile(aSorted, kPercentiles[i]);
  }
  return percentiles;
}

json::array
HistogramJson(const std::vector<std::uint32_t>& aLatencies)
{
  std::array<std::uint64_t, kLatencyBuckets> counts{};
  for (const std::uint32_t latency : aLatencies) {
    ++counts[LatencyBucket(std::chrono::microseconds(latency))];
  }
  json::array histogram;
  for (std::size_t i = 0; i < counts.size(); ++i) {
    const auto limit = std::chrono::duration_cast<std::chrono::microseconds>(
      LatencyBucketLimit(i));
    histogram.emplace_back(
      json::object{ { "below_us", limit.count() }, { "calls", counts[i] } });
  }
  return histogram;
}

json::array
TimelineJson(const KindStatistics& aKind)
{
  json::array timeline;
  for (const auto& [second, versions] : aKind.m_timeline) {
    json::object counts;
    for (const auto& [version, count] : versions) {
      counts[version] = count;
    }
    timeline.emplace_back(
      json::object{ { "second", second }, { "versions", std::move(counts) } });
  }
  return timeline;
}

json::object
KindJson(const CallKind& aKind, const KindStatistics& aStatistics)
{
  json::object object{ { "name", aKind.m_name },
                       { "account", aKind.m_account.Value() },
                       { "class", aKind.m_class.Value() },
                       { "idempotent", aKind.m_isIdempotent } };
  for (std::size_t i = 0; i < kAnswerKinds; ++i) {
    object[Name(static_cast<AnswerKind>(i))] = aStatistics.m_answers[i];
  }
  json::object refusals;
  for (const auto& [reason, count] : aStatistics.m_refusals) {
    refusals[reason] = count;
  }
  object["refusals"] = std::move(refusals);
  object["latency"] = PercentilesJson(aStatistics.m_latencies);
  object["histogram"] = HistogramJson(aStatistics.m_latencies);
  object["timeline"] = TimelineJson(aStatistics);
  return object;
}

json::array
TextsJson(const std::vector<std::string>& aTexts)
{
  json::array texts;
  for (const std::string& text : aTexts) {
    texts.emplace_back(text);
  }
  return texts;
}

std::string
KindLine(const CallKind& aKind, const KindStatistics& aStatistics)
{
  std::string line = "kind=" + aKind.m_name +
                     " account=" + aKind.m_account.Value() +
                     " class=" + aKind.m_class.Value();
  for (std::size_t i = 0; i < kAnswerKinds; ++i) {
    line += " " + std::string(Name(static_cast<AnswerKind>(i))) + "=" +
            std::to_string(aStatistics.m_answers[i]);
  }
  for (std::size_t i = 0; i < std::size(kPercentiles); ++i) {
    line +=
      " " + std::string(kPercentileNames[i]) + "=" +
      std::to_string(Percentile(aStatistics.m_latencies, kPercentiles[i]));
  }
  return line + "\n";
}

} // namespace

std::uint32_t
Percentile(const std::vector<std::uint32_t>& aSorted, double aFraction)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::size_t>(
    std::ceil(aFraction * static_cast<double>(aSorted.size())));
  return aSorted[std::clamp<std::size_t>(rank, 1, aSorted.size()) - 1];
}

RunReport::RunReport(std::vector<CallKind> aMix)
  : m_mix(std::move(aMix))
  , m_kinds(m_mix.size())
{
}

void
RunReport::Add(std::size_t aKind,
               std::uint32_t aSecond,
               Duration aLatency,
               const AnswerVerdict& aVerdict)
{
  KindStatistics& kind = m_kinds.at(aKind);
  ++kind.m_answers.at(static_cast<std::size_t>(aVerdict.m_kind));
  if (aVerdict.m_kind == AnswerKind::Done) {
    const auto latency =
      std::chrono::duration_cast<std::chrono::microseconds>(aLatency);
    kind.m_latencies.push_back(static_cast<std::uint32_t>(latency.count()));
    ++kind.m_timeline[aSecond][aVerdict.m_version.Value()];
    return;
  }
  const std::string reason =
    std::string(Name(aVerdict.m_kind)) + " " + aVerdict.m_detail;
  if (kind.m_refusals.size() < kMaxRefusalReasons) {
    ++kind.m_refusals[reason];
  }
  if (aVerdict.m_kind == AnswerKind::Wrong &&
      m_wrongExamples.size() < kMaxExamples) {
    m_wrongExamples.push_back(aVerdict.m_detail);
  }
}

std::uint64_t
RunReport::Count(AnswerKind aKind) const
{
  std::uint64_t count = 0;
  for (const KindStatistics& kind : m_kinds) {
    count += kind.m_answers.at(static_cast<std::size_t>(aKind));
  }
  return count;
}

bool
RunReport::IsClean() const
{
  return Count(AnswerKind::Wrong) == 0 && m_run.m_audit.m_doubledRuns == 0 &&
         m_run.m_audit.m_falseNotRun == 0;
}

std::string
RunReport::Text()
{
  std::string text;
  for (std::size_t i = 0; i < m_kinds.size(); ++i) {
    std::sort(m_kinds[i].m_latencies.begin(), m_kinds[i].m_latencies.end());
    text += KindLine(m_mix[i], m_kinds[i]);
    for (const auto& [reason, count] : m_kinds[i].m_refusals) {
      text += "  " + std::to_string(count) + " x " + reason + "\n";
    }
  }
  for (const std::string& example : m_wrongExamples) {
    text += "wrong: " + example + "\n";
  }
  for (const std::string& example : m_run.m_audit.m_examples) {
    text += "broken: " + example + "\n";
  }
  char line[400];
  std::snprintf(line,
                sizeof line,
                "calls=%llu seconds=%.1f offered_per_second=%.1f "
                "wrong_answers=%llu doubled_runs=%llu false_not_run=%llu "
                "missing_runs=%llu logs_read=%llu logs_missing=%llu\n",
                static_cast<unsigned long long>(m_run.m_calls),
                Seconds(m_run.m_duration),
                m_run.m_offeredRate,
                static_cast<unsigned long long>(Count(AnswerKind::Wrong)),
                static_cast<unsigned long long>(m_run.m_audit.m_doubledRuns),
                static_cast<unsigned long long>(m_run.m_audit.m_falseNotRun),
                static_cast<unsigned long long>(m_run.m_audit.m_missingRuns),
                static_cast<unsigned long long>(m_run.m_logsRead),
                static_cast<unsigned long long>(m_run.m_logsMissing));
  return text + line;
}

std::string
RunReport::Json()
{
  json::array kinds;
  for (std::size_t i = 0; i < m_kinds.size(); ++i) {
    std::sort(m_kinds[i].m_latencies.begin(), m_kinds[i].m_latencies.end());
    kinds.emplace_back(KindJson(m_mix[i], m_kinds[i]));
  }
  const json::object report{ { "seed", m_run.m_seed },
                             { "calls", m_run.m_calls },
                             { "repeats", m_run.m_repeats },
                             { "seconds", Seconds(m_run.m_duration) },
                             { "offered_per_second", m_run.m_offeredRate },
                             { "wrong_answers", Count(AnswerKind::Wrong) },
                             { "doubled_runs", m_run.m_audit.m_doubledRuns },
                             { "false_not_run", m_run.m_audit.m_falseNotRun },
                             { "missing_runs", m_run.m_audit.m_missingRuns },
                             { "unknown_that_ran",
                               m_run.m_audit.m_unknownThatRan },
                             { "logs_read", m_run.m_logsRead },
                             { "logs_missing", m_run.m_logsMissing },
                             { "wrong", TextsJson(m_wrongExamples) },
                             { "broken", TextsJson(m_run.m_audit.m_examples) },
                             { "kinds", std::move(kinds) } };
  return json::serialize(report) + "\n";
}

} // namespace tarragontray
