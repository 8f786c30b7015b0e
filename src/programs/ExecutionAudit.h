/// \file
/// Compares the outcomes that callers received with the executions that the
/// upstreams logged.
///
///     ExecutionAudit audit;
///     audit.AddAnswer(operation, /*aIsIdempotent=*/false, AnswerKind::NotRun);
///     audit.Add(report);
///     AuditResult result = audit.Check();
///
/// Thread safety: one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/Ids.h"
#include "programs/AnswerCheck.h"
#include "programs/ExecutionLog.h"

namespace tarragontray {

/// The violations that an audit found.
struct AuditResult
{
  /// Non-idempotent operations that ran more than once.
  std::uint64_t m_doubledRuns = 0;
  /// Operations that were reported as not run but did run.
  std::uint64_t m_falseNotRun = 0;
  /// Operations answered with Done that no log contains. The logs of upstreams
  /// that have ended may be unavailable, so the count is meaningful only if all
  /// logs were added.
  std::uint64_t m_missingRuns = 0;
  /// Non-idempotent operations without a definite answer (lost, unknown or
  /// wrong) that did run. Not a violation.
  std::uint64_t m_unknownThatRan = 0;
  /// The first violations, each with its operation and executions.
  std::vector<std::string> m_examples;
};

/// See the file comment.
class ExecutionAudit
{
public:
  /// Adds the answer to one attempt of an operation. An operation counts as
  /// reported not run only if the answers to all its attempts were NotRun.
  void AddAnswer(const OperationId& aOperation,
                 bool aIsIdempotent,
                 AnswerKind aKind);

  /// Adds the execution log of one upstream.
  void Add(const ExecutionReport& aReport);

  /// Compares the answers and logs added so far.
  AuditResult Check() const;

private:
  /// The kinds of answers to the attempts of one operation.
  struct Answers
  {
    bool m_isIdempotent = false;
    bool m_hasDone = false;
    bool m_hasNotRun = false;
    bool m_hasFailed = false;
    /// Unknown, Lost or Wrong: the attempt may have run.
    bool m_hasUncertain = false;
  };
  /// The logged executions of one operation.
  struct Runs
  {
    std::uint32_t m_count = 0;
    /// "vm/attempt/end" of the first four executions, separated by commas.
    std::string m_locations;
  };

  std::unordered_map<OperationId, Answers> m_answers;
  std::unordered_map<OperationId, Runs> m_runs;
};

} // namespace tarragontray
