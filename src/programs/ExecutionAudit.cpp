#include "programs/ExecutionAudit.h"

namespace tarragontray {

namespace {

constexpr std::size_t kMaxExamples = 10;

void
AddExample(AuditResult& aResult,
           const std::string& aWhat,
           const OperationId& aOperation,
           const std::string& aWhere)
{
  if (aResult.m_examples.size() < kMaxExamples) {
    aResult.m_examples.push_back(aWhat + " operation=" + aOperation.Value() +
                                 " runs=" + aWhere);
  }
}

} // namespace

void
ExecutionAudit::Claim(const OperationId& aOperation,
                      bool aIsIdempotent,
                      AnswerKind aKind)
{
  Claims& claims = m_claims[aOperation];
  claims.m_isIdempotent = aIsIdempotent;
  claims.m_isDone |= aKind == AnswerKind::Done;
  claims.m_isNotRun |= aKind == AnswerKind::NotRun;
  claims.m_isFailed |= aKind == AnswerKind::Failed;
  claims.m_isOpen |= aKind == AnswerKind::Unknown ||
                     aKind == AnswerKind::Lost || aKind == AnswerKind::Wrong;
}

void
ExecutionAudit::Add(const ExecutionReport& aReport)
{
  for (const Execution& execution : aReport.m_executions) {
    Runs& runs = m_runs[execution.m_operation];
    ++runs.m_count;
    if (runs.m_count <= 4) {
      runs.m_where += (runs.m_where.empty() ? "" : ",") + aReport.m_vm.Value() +
                      "/" + std::to_string(execution.m_attempt) + "/" +
                      std::string(Name(execution.m_end));
    }
  }
}

AuditResult
ExecutionAudit::Check() const
{
  AuditResult result;
  for (const auto& [operation, claims] : m_claims) {
    const auto found = m_runs.find(operation);
    const Runs runs = found == m_runs.end() ? Runs{} : found->second;
    if (!claims.m_isIdempotent && runs.m_count > 1) {
      ++result.m_doubledRuns;
      AddExample(result, "doubled", operation, runs.m_where);
    }
    const bool isSaidNotRun = claims.m_isNotRun && !claims.m_isDone &&
                              !claims.m_isFailed && !claims.m_isOpen;
    if (isSaidNotRun && runs.m_count > 0) {
      ++result.m_falseNotRun;
      AddExample(result, "false-not-run", operation, runs.m_where);
    }
    if (claims.m_isDone && runs.m_count == 0) {
      ++result.m_missingRuns;
      AddExample(result, "missing", operation, "none");
    }
    const bool isOpen =
      claims.m_isOpen && !claims.m_isDone && !claims.m_isFailed;
    if (isOpen && !claims.m_isIdempotent && runs.m_count > 0) {
      ++result.m_unknownThatRan;
    }
  }
  return result;
}

} // namespace tarragontray
