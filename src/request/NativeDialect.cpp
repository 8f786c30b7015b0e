#include "request/NativeDialect.h"

#include <algorithm>
#include <utility>

namespace tarragontray {

namespace {

constexpr std::size_t kMaxOperationIdBytes = 128;
constexpr std::uint16_t kServiceUnavailable = 503;

std::uint16_t
StatusOf(const Answer& aAnswer)
{
  if (aAnswer.m_outcome == CallOutcome::Unknown) {
    return 504;
  }
  return aAnswer.m_refusal == RefusalReason::NoRoute ? 404
                                                     : kServiceUnavailable;
}

} // namespace

Result<CallerRequest>
NativeCallerDialect::Read(const HttpRequestParts& aRequest) const
{
  CallerRequest request;
  if (const std::string* account =
        FindHeader(aRequest.m_headers, "x-client-account")) {
    request.m_account = ClientAccountId(*account);
  }
  if (const std::string* host = FindHeader(aRequest.m_headers, "host")) {
    request.m_host = *host;
  }
  request.m_timeRemaining =
    FindMilliseconds(aRequest.m_headers, "x-time-remaining-ms");
  const std::string* key = FindHeader(aRequest.m_headers, "idempotency-key");
  if (key == nullptr) {
    return request;
  }
  // A key that can't be kept must not run the call as if it had none.
  if (key->empty() || key->size() > kMaxOperationIdBytes) {
    return Error(ErrorCode::InvalidArgument,
                 "caller.read",
                 "",
                 "idempotency-key must have 1 to 128 bytes");
  }
  request.m_operation = OperationId(*key);
  request.m_isCallerKey = true;
  return request;
}

HttpAnswerParts
NativeCallerDialect::Reject(const Error& aError) const
{
  HttpAnswerParts answer = TextAnswer(400, aError.Detail() + "\n");
  answer.m_headers.push_back({ "x-outcome", "not-run" });
  answer.m_headers.push_back({ "x-reason", "bad-idempotency-key" });
  return answer;
}

HttpAnswerParts
NativeCallerDialect::Write(Answer aAnswer) const
{
  HttpAnswerParts http;
  if (aAnswer.m_outcome == CallOutcome::Done) {
    http = std::move(aAnswer.m_http);
  } else {
    http = TextAnswer(StatusOf(aAnswer),
                      std::string(Name(aAnswer.m_outcome)) + " " +
                        std::string(Name(aAnswer.m_refusal)) + "\n");
  }
  http.m_headers.push_back(
    { "x-outcome", std::string(Name(aAnswer.m_outcome)) });
  if (aAnswer.m_refusal != RefusalReason::None) {
    http.m_headers.push_back(
      { "x-reason", std::string(Name(aAnswer.m_refusal)) });
  }
  return http;
}

HttpRequestParts
NativeUpstreamDialect::Write(const Call& aCall,
                             const UpstreamEndpoint& aPlace) const
{
  HttpRequestParts request = aCall.m_http;
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
    aCall.m_timeRemaining);
  auto& headers = request.m_headers;
  SetHeader(headers, "host", aPlace.m_address.ToString());
  SetHeader(headers, "x-operation-id", aCall.m_operation.Value());
  SetHeader(headers, "x-client-account", aCall.m_caller.Value());
  SetHeader(headers, "x-time-remaining-ms", std::to_string(remaining.count()));
  SetHeader(headers, "x-attempt", std::to_string(aCall.m_attempt));
  return request;
}

void
NativeUpstreamDialect::AddOrigin(const VmId& aVm,
                                 const UpstreamVersion& aVersion,
                                 HttpAnswerParts& aAnswer) const
{
  std::erase_if(aAnswer.m_headers, [](const HttpHeader& aHeader) {
    return aHeader.m_name == "x-vm" || aHeader.m_name == "x-version" ||
           aHeader.m_name == "x-outcome" || aHeader.m_name == "x-reason";
  });
  aAnswer.m_headers.push_back({ "x-vm", aVm.Value() });
  aAnswer.m_headers.push_back({ "x-version", aVersion.Value() });
}

UpstreamVerdict
NativeUpstreamDialect::Judge(const Call& /*aCall*/,
                             const HttpAnswerParts& aAnswer) const
{
  const std::string* notRun = FindHeader(aAnswer.m_headers, "x-not-run");
  const bool wasShed = aAnswer.m_status == kServiceUnavailable &&
                       notRun != nullptr && *notRun == "1";
  return wasShed ? UpstreamVerdict::Shed : UpstreamVerdict::Ran;
}

} // namespace tarragontray
