#include "programs/AnswerCheck.h"

#include <optional>

#include "programs/AnswerBody.h"

namespace tarragontray {

namespace {

/// Returns an empty string if the header is absent.
std::string
Header(const HttpAnswerParts& aAnswer, std::string_view aName)
{
  for (const HttpHeader& header : aAnswer.m_headers) {
    if (header.m_name == aName) {
      return header.m_value;
    }
  }
  return "";
}

AnswerVerdict
MakeVerdict(AnswerKind aKind, std::string aDetail)
{
  return { aKind, {}, {}, std::move(aDetail) };
}

/// Returns the outcome that the response headers report, or nullopt if they
/// report none.
std::optional<CallOutcome>
ReportedOutcome(const HttpAnswerParts& aAnswer, bool aIsDirect)
{
  if (aIsDirect) {
    return Header(aAnswer, "x-not-run") == "1" ? CallOutcome::NotRun
                                               : CallOutcome::Done;
  }
  const std::string outcome = Header(aAnswer, "x-outcome");
  for (const CallOutcome candidate :
       { CallOutcome::Done, CallOutcome::NotRun, CallOutcome::Unknown }) {
    if (Name(candidate) == outcome) {
      return candidate;
    }
  }
  return std::nullopt;
}

/// Verifies a response whose reported outcome is Done.
AnswerVerdict
CheckDoneAnswer(const SentCall& aCall, const HttpAnswerParts& aAnswer)
{
  constexpr std::uint16_t kFirstErrorStatus = 400;
  if (aAnswer.m_status >= kFirstErrorStatus) {
    return MakeVerdict(AnswerKind::Failed,
                       "status " + std::to_string(aAnswer.m_status));
  }
  const auto identity = ReadAnswerBody(aAnswer.m_body);
  if (!identity) {
    return MakeVerdict(AnswerKind::Wrong,
                       "the response body is truncated or corrupt");
  }
  if (identity->m_operation != aCall.m_operation) {
    return MakeVerdict(AnswerKind::Wrong,
                       "the response belongs to operation " +
                         identity->m_operation.Value());
  }
  if (identity->m_requestHash != aCall.m_requestHash) {
    return MakeVerdict(
      AnswerKind::Wrong,
      "the request hash differs from that of the request body sent");
  }
  return { AnswerKind::Done, identity->m_version, identity->m_vm, "" };
}

} // namespace

std::string_view
Name(AnswerKind aKind)
{
  switch (aKind) {
    case AnswerKind::Done:
      return "done";
    case AnswerKind::Failed:
      return "failed";
    case AnswerKind::NotRun:
      return "not_run";
    case AnswerKind::Unknown:
      return "unknown";
    case AnswerKind::Lost:
      return "lost";
    case AnswerKind::Wrong:
      return "wrong";
  }
  return "none";
}

AnswerVerdict
CheckAnswer(const SentCall& aCall,
            const Result<HttpAnswerParts>& aAnswer,
            bool aIsDirect)
{
  if (!aAnswer) {
    return MakeVerdict(AnswerKind::Lost, aAnswer.error().Message());
  }
  const HttpAnswerParts& answer = aAnswer.value();
  const auto outcome = ReportedOutcome(answer, aIsDirect);
  if (!outcome) {
    return MakeVerdict(AnswerKind::Wrong,
                       "status " + std::to_string(answer.m_status) +
                         " without x-outcome");
  }
  switch (*outcome) {
    case CallOutcome::Done:
      return CheckDoneAnswer(aCall, answer);
    case CallOutcome::NotRun:
      return MakeVerdict(AnswerKind::NotRun, Header(answer, "x-reason"));
    case CallOutcome::Unknown:
      return MakeVerdict(AnswerKind::Unknown, Header(answer, "x-reason"));
  }
  return MakeVerdict(AnswerKind::Wrong, "unhandled value of x-outcome");
}

} // namespace tarragontray
