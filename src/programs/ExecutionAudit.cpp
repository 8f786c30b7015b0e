#include "programs/ExecutionAudit.h"

namespace tarragontray {

namespace {

constexpr std::size_t kMaxExamples = 10;

/// Adds an example of a violation, up to kMaxExamples.
void
AddExample(AuditResult& aResult,
           const std::string& aViolation,
           const OperationId& aOperation,
           const std::string& aRuns)
{
  if (aResult.m_examples.size() < kMaxExamples) {
    aResult.m_examples.push_back(
      aViolation + " operation=" + aOperation.Value() + " runs=" + aRuns);
  }
}

} // namespace

void
ExecutionAudit::AddAnswer(const OperationId& aOperation,
                          bool aIsIdempotent,
                          AnswerKind aKind)
{
  Answers& answers = m_answers[aOperation];
  answers.m_isIdempotent = aIsIdempotent;
  answers.m_hasDone |= aKind == AnswerKind::Done;
  answers.m_hasNotRun |= aKind == AnswerKind::NotRun;
  answers.m_hasFailed |= aKind == AnswerKind::Failed;
  answers.m_hasUncertain |= aKind == AnswerKind::Unknown ||
                            aKind == AnswerKind::Lost ||
                            aKind == AnswerKind::Wrong;
}

void
ExecutionAudit::Add(const ExecutionReport& aReport)
{
  for (const Execution& execution : aReport.m_executions) {
    Runs& runs = m_runs[execution.m_operation];
    ++runs.m_count;
    if (runs.m_count <= 4) {
      runs.m_locations += (runs.m_locations.empty() ? "" : ",") +
                          aReport.m_vm.Value() + "/" +
                          std::to_string(execution.m_attempt) + "/" +
                          std::string(Name(execution.m_end));
    }
  }
}

AuditResult
ExecutionAudit::Check() const
{
  AuditResult result;
  for (const auto& [operation, answers] : m_answers) {
    const auto found = m_runs.find(operation);
    const Runs runs = found == m_runs.end() ? Runs{} : found->second;
    if (!answers.m_isIdempotent && runs.m_count > 1) {
      ++result.m_doubledRuns;
      AddExample(result, "doubled", operation, runs.m_locations);
    }
    const bool isReportedNotRun = answers.m_hasNotRun && !answers.m_hasDone &&
                                  !answers.m_hasFailed &&
                                  !answers.m_hasUncertain;
    if (isReportedNotRun && runs.m_count > 0) {
      ++result.m_falseNotRun;
      AddExample(result, "false-not-run", operation, runs.m_locations);
    }
    if (answers.m_hasDone && runs.m_count == 0) {
      ++result.m_missingRuns;
      AddExample(result, "missing", operation, "none");
    }
    const bool isUncertain =
      answers.m_hasUncertain && !answers.m_hasDone && !answers.m_hasFailed;
    if (isUncertain && !answers.m_isIdempotent && runs.m_count > 0) {
      ++result.m_unknownThatRan;
    }
  }
  return result;
}

} // namespace tarragontray
