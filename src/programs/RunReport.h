/// \file
/// The results of a run of the load generator, as text and as JSON.
///
/// Latency is measured from the intended send time, so that a stall of the
/// target shows in every call that it delayed. This avoids coordinated omission
/// (Tene, 2013).
///
///     RunReport report(mix);
///     report.Add(kind, second, latency, verdict);
///     std::string text = report.Text();
///
/// Thread safety: one thread.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/Units.h"
#include "programs/AnswerCheck.h"
#include "programs/ExecutionAudit.h"
#include "programs/LoadMix.h"

namespace tarragontray {

/// The results for one kind of call.
struct KindStatistics
{
  /// Number of calls by AnswerKind.
  std::array<std::uint64_t, kAnswerKinds> m_answers{};
  /// Latencies of Done answers, in microseconds.
  std::vector<std::uint32_t> m_latencies;
  /// Number of Done answers by second since the start, then by version.
  std::map<std::uint32_t, std::map<std::string, std::uint64_t>> m_timeline;
  /// Number of answers other than Done, by kind and reason.
  std::map<std::string, std::uint64_t> m_refusals;
};

/// The totals of a run.
struct RunStatistics
{
  std::uint64_t m_seed = 0;
  /// Calls per second.
  double m_offeredRate = 0;
  Duration m_duration{ 0 };
  std::uint64_t m_calls = 0;
  /// Retries after a lost or unknown answer.
  std::uint64_t m_repeats = 0;
  /// Execution logs that were read completely, and those that were not.
  std::uint64_t m_logsRead = 0;
  std::uint64_t m_logsMissing = 0;
  AuditResult m_audit;
};

/// See the file comment.
class RunReport
{
public:
  explicit RunReport(std::vector<CallKind> aMix);

  /// Adds the final answer to one operation.
  /// \param aKind index in the mix.
  /// \param aSecond of the intended send time, counted from the start.
  void Add(std::size_t aKind,
           std::uint32_t aSecond,
           Duration aLatency,
           const AnswerVerdict& aVerdict);
  /// Sets the totals of the run.
  void Finish(RunStatistics aRun) { m_run = std::move(aRun); }

  /// Returns the number of operations whose final answer is of aKind.
  std::uint64_t Count(AnswerKind aKind) const;
  const RunStatistics& Run() const { return m_run; }
  /// True if there was no wrong answer, no doubled run and no false "not run".
  bool IsClean() const;

  std::string Text();
  std::string Json();

private:
  std::vector<CallKind> m_mix;
  std::vector<KindStatistics> m_kinds;
  std::vector<std::string> m_wrongExamples;
  RunStatistics m_run;
};

/// Returns the nearest-rank percentile of samples in ascending order; 0 if
/// there are none.
std::uint32_t
Percentile(const std::vector<std::uint32_t>& aSorted, double aFraction);

} // namespace tarragontray
