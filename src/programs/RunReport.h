/// \file
/// What a run of the load tool measured, and its text and JSON.
///
/// Latency counts from the intended send time, so that a stall of the target
/// shows in every call that it held back (coordinated omission; Tene, 2013).
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

/// What was seen of one kind of call.
struct KindStatistics
{
  std::array<std::uint64_t, kAnswerKinds> m_answers{};
  /// Latencies of whole answers, in microseconds.
  std::vector<std::uint32_t> m_latencies;
  /// Whole answers by second since the start, then by version.
  std::map<std::uint32_t, std::map<std::string, std::uint64_t>> m_timeline;
  /// Why calls were refused, with counts.
  std::map<std::string, std::uint64_t> m_refusals;
};

/// The run as a whole.
struct RunStatistics
{
  std::uint64_t m_seed = 0;
  double m_offeredRate = 0;
  Duration m_duration{ 0 };
  std::uint64_t m_calls = 0;
  std::uint64_t m_repeats = 0;
  /// Whether the execution logs were read.
  std::uint64_t m_logsRead = 0;
  std::uint64_t m_logsMissing = 0;
  AuditResult m_audit;
};

/// See the file comment.
class RunReport
{
public:
  explicit RunReport(std::vector<CallKind> aMix);

  /// \param aSecond of the intended send time since the start.
  void Add(std::size_t aKind,
           std::uint32_t aSecond,
           Duration aLatency,
           const AnswerVerdict& aVerdict);
  /// Sets the figures of the run as a whole.
  void Finish(RunStatistics aRun) { m_run = std::move(aRun); }

  std::uint64_t Count(AnswerKind aKind) const;
  const RunStatistics& Run() const { return m_run; }
  /// No wrong answer, doubled run or false "not run".
  bool IsClean() const;

  std::string Text();
  std::string Json();

private:
  std::vector<CallKind> m_mix;
  std::vector<KindStatistics> m_kinds;
  std::vector<std::string> m_wrongExamples;
  RunStatistics m_run;
};

/// The value below which aFraction of the sorted samples lie; 0 without any.
std::uint32_t
Percentile(const std::vector<std::uint32_t>& aSorted, double aFraction);

} // namespace tarragontray
