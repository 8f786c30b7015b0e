/// \file
/// Compares what callers were told with what the upstreams ran.
///
///     ExecutionAudit audit;
///     audit.Claim(operation, /*aIsIdempotent=*/false, AnswerKind::NotRun);
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

struct AuditResult
{
  /// Non-idempotent operations that ran more than once.
  std::uint64_t m_doubledRuns = 0;
  /// Operations said not to have run that ran.
  std::uint64_t m_falseNotRun = 0;
  /// Operations answered whole of which no log has a run. Upstreams that are
  /// gone took their logs along, so this is only meaningful with all logs.
  std::uint64_t m_missingRuns = 0;
  /// Lost or unknown non-idempotent operations that did run.
  std::uint64_t m_unknownThatRan = 0;
  /// The first few operations that broke a promise, with what is wrong.
  std::vector<std::string> m_examples;
};

/// See the file comment.
class ExecutionAudit
{
public:
  /// What the caller was told of one attempt of its operation. An operation
  /// counts as said not to have run when all its attempts were.
  void Claim(const OperationId& aOperation,
             bool aIsIdempotent,
             AnswerKind aKind);

  /// Takes the log of one upstream.
  void Add(const ExecutionReport& aReport);

  AuditResult Check() const;

private:
  struct Claims
  {
    bool m_isIdempotent = false;
    bool m_isDone = false;
    bool m_isNotRun = false;
    bool m_isFailed = false;
    bool m_isOpen = false;
  };
  struct Runs
  {
    std::uint32_t m_count = 0;
    std::string m_where;
  };

  std::unordered_map<OperationId, Claims> m_claims;
  std::unordered_map<OperationId, Runs> m_runs;
};

} // namespace tarragontray
