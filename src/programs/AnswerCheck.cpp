#include "programs/AnswerCheck.h"

#include <optional>

#include "programs/AnswerBody.h"

namespace tarragontray {

namespace {

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
Other(AnswerKind aKind, std::string aDetail)
{
  return { aKind, {}, {}, std::move(aDetail) };
}

/// What the answer says of the execution.
std::optional<CallOutcome>
ClaimedOutcome(const HttpAnswerParts& aAnswer, bool aIsDirect)
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

AnswerVerdict
CheckWhole(const SentCall& aCall, const HttpAnswerParts& aAnswer)
{
  constexpr std::uint16_t kLeastError = 400;
  if (aAnswer.m_status >= kLeastError) {
    return Other(AnswerKind::Failed,
                 "status " + std::to_string(aAnswer.m_status));
  }
  const auto identity = ReadAnswerBody(aAnswer.m_body);
  if (!identity) {
    return Other(AnswerKind::Wrong, "the body is not whole");
  }
  if (identity->m_operation != aCall.m_operation) {
    return Other(AnswerKind::Wrong,
                 "the answer is to " + identity->m_operation.Value());
  }
  if (identity->m_requestHash != aCall.m_requestHash) {
    return Other(AnswerKind::Wrong, "the upstream got another request body");
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
    return Other(AnswerKind::Lost, aAnswer.error().Message());
  }
  const HttpAnswerParts& answer = aAnswer.value();
  const auto outcome = ClaimedOutcome(answer, aIsDirect);
  if (!outcome) {
    return Other(AnswerKind::Wrong,
                 "status " + std::to_string(answer.m_status) +
                   " without x-outcome");
  }
  switch (*outcome) {
    case CallOutcome::Done:
      return CheckWhole(aCall, answer);
    case CallOutcome::NotRun:
      return Other(AnswerKind::NotRun, Header(answer, "x-reason"));
    case CallOutcome::Unknown:
      return Other(AnswerKind::Unknown, Header(answer, "x-reason"));
  }
  return Other(AnswerKind::Wrong, "no outcome");
}

} // namespace tarragontray
