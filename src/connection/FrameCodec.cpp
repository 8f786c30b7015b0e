#include "connection/FrameCodec.h"

#include <utility>

#include "connection/CerealTypes.h"

namespace tarragontray {

namespace {

void
Put(Writer& aWriter, const HttpHeader& aHeader)
{
  aWriter.PutText(aHeader.m_name);
  aWriter.PutText(aHeader.m_value);
}
void
Get(Reader& aReader, HttpHeader& aHeader)
{
  aReader.GetText(aHeader.m_name);
  aReader.GetText(aHeader.m_value);
}

void
PutHeaders(Writer& aWriter, const std::vector<HttpHeader>& aHeaders)
{
  aWriter.PutNumber(aHeaders.size());
  for (const HttpHeader& header : aHeaders) {
    Put(aWriter, header);
  }
}
void
GetHeaders(Reader& aReader, std::vector<HttpHeader>& aHeaders)
{
  const std::size_t count = aReader.GetCount();
  for (std::size_t i = 0; i < count && !aReader.IsFailed(); ++i) {
    Get(aReader, aHeaders.emplace_back());
  }
}

void
Put(Writer& aWriter, const Call& aCall)
{
  Put(aWriter, aCall.m_id);
  Put(aWriter, aCall.m_operation);
  Put(aWriter, aCall.m_caller);
  Put(aWriter, aCall.m_service);
  Put(aWriter, aCall.m_route);
  Put(aWriter, aCall.m_class);
  Put(aWriter, aCall.m_version);
  Put(aWriter, aCall.m_priority);
  Put(aWriter, static_cast<std::uint8_t>(aCall.m_idempotent ? 1 : 0));
  Put(aWriter, aCall.m_attempt);
  Put(aWriter, aCall.m_timeRemaining);
  aWriter.PutText(aCall.m_http.m_method);
  aWriter.PutText(aCall.m_http.m_target);
  PutHeaders(aWriter, aCall.m_http.m_headers);
  aWriter.PutText(aCall.m_http.m_body);
}
void
Get(Reader& aReader, Call& aCall)
{
  std::uint8_t idempotent = 0;
  Get(aReader, aCall.m_id);
  Get(aReader, aCall.m_operation);
  Get(aReader, aCall.m_caller);
  Get(aReader, aCall.m_service);
  Get(aReader, aCall.m_route);
  Get(aReader, aCall.m_class);
  Get(aReader, aCall.m_version);
  Get(aReader, aCall.m_priority);
  Get(aReader, idempotent);
  Get(aReader, aCall.m_attempt);
  Get(aReader, aCall.m_timeRemaining);
  aReader.GetText(aCall.m_http.m_method);
  aReader.GetText(aCall.m_http.m_target);
  GetHeaders(aReader, aCall.m_http.m_headers);
  aReader.GetText(aCall.m_http.m_body);
  aCall.m_idempotent = idempotent != 0;
}

void
Put(Writer& aWriter, const Answer& aAnswer)
{
  Put(aWriter, aAnswer.m_id);
  PutEnum(aWriter, aAnswer.m_outcome);
  PutEnum(aWriter, aAnswer.m_refusal);
  Put(aWriter, aAnswer.m_load.m_running);
  Put(aWriter, aAnswer.m_load.m_queued);
  Put(aWriter, aAnswer.m_load.m_slots);
  Put(aWriter, aAnswer.m_serviceTime);
  Put(aWriter, aAnswer.m_http.m_status);
  PutHeaders(aWriter, aAnswer.m_http.m_headers);
  aWriter.PutText(aAnswer.m_http.m_body);
}
void
Get(Reader& aReader, Answer& aAnswer)
{
  Get(aReader, aAnswer.m_id);
  GetEnum(aReader, aAnswer.m_outcome, CallOutcome::Unknown);
  GetEnum(aReader, aAnswer.m_refusal, RefusalReason::WithdrawnOperation);
  Get(aReader, aAnswer.m_load.m_running);
  Get(aReader, aAnswer.m_load.m_queued);
  Get(aReader, aAnswer.m_load.m_slots);
  Get(aReader, aAnswer.m_serviceTime);
  Get(aReader, aAnswer.m_http.m_status);
  GetHeaders(aReader, aAnswer.m_http.m_headers);
  aReader.GetText(aAnswer.m_http.m_body);
}

void
Put(Writer& aWriter, const CancelCall& aCancel)
{
  Put(aWriter, aCancel.m_id);
}
void
Get(Reader& aReader, CancelCall& aCancel)
{
  Get(aReader, aCancel.m_id);
}

void
Put(Writer& aWriter, const OperationQuery& aQuery)
{
  Put(aWriter, aQuery.m_id);
  Put(aWriter, aQuery.m_caller);
  Put(aWriter, aQuery.m_operation);
  Put(aWriter, aQuery.m_attempt);
  Put(aWriter, aQuery.m_sentTo);
}
void
Get(Reader& aReader, OperationQuery& aQuery)
{
  Get(aReader, aQuery.m_id);
  Get(aReader, aQuery.m_caller);
  Get(aReader, aQuery.m_operation);
  Get(aReader, aQuery.m_attempt);
  Get(aReader, aQuery.m_sentTo);
}

void
Put(Writer& aWriter, const OperationReply& aReply)
{
  Put(aWriter, aReply.m_id);
  PutEnum(aWriter, aReply.m_status);
  aWriter.PutNumber(aReply.m_answer ? 1 : 0);
  if (aReply.m_answer) {
    Put(aWriter, *aReply.m_answer);
  }
}
void
Get(Reader& aReader, OperationReply& aReply)
{
  Get(aReader, aReply.m_id);
  GetEnum(aReader, aReply.m_status, OperationStatus::Forgotten);
  if (aReader.GetNumber() != 0) {
    Get(aReader, aReply.m_answer.emplace());
  }
}

void
Put(Writer& aWriter, const LinkPing& aPing)
{
  Put(aWriter, aPing.m_number);
}
void
Get(Reader& aReader, LinkPing& aPing)
{
  Get(aReader, aPing.m_number);
}

void
Put(Writer& aWriter, const LinkPong& aPong)
{
  Put(aWriter, aPong.m_number);
}
void
Get(Reader& aReader, LinkPong& aPong)
{
  Get(aReader, aPong.m_number);
}

void
Put(Writer& aWriter, const StateRequest& aRequest)
{
  Put(aWriter, aRequest.m_id);
  aWriter.PutText(aRequest.m_bytes);
}
void
Get(Reader& aReader, StateRequest& aRequest)
{
  Get(aReader, aRequest.m_id);
  aReader.GetText(aRequest.m_bytes);
}

void
Put(Writer& aWriter, const StateReply& aReply)
{
  Put(aWriter, aReply.m_id);
  aWriter.PutText(aReply.m_bytes);
}
void
Get(Reader& aReader, StateReply& aReply)
{
  Get(aReader, aReply.m_id);
  aReader.GetText(aReply.m_bytes);
}

/// Reads the alternative whose number is aIndex; false when there is none.
template<std::size_t I = 0>
bool
GetAlternative(Reader& aReader, std::uint64_t aIndex, PeerMessage& aMessage)
{
  if constexpr (I < std::variant_size_v<PeerMessage>) {
    if (aIndex == I) {
      Get(aReader, aMessage.emplace<I>());
      return true;
    }
    return GetAlternative<I + 1>(aReader, aIndex, aMessage);
  } else {
    return false;
  }
}

} // namespace

void
AppendFrame(std::string& aBytes, const PeerMessage& aMessage)
{
  const std::size_t start = aBytes.size();
  aBytes.append(kFrameHeaderBytes, '\0');
  {
    Writer writer(aBytes);
    writer.PutNumber(aMessage.index());
    std::visit([&](const auto& aBody) { Put(writer, aBody); }, aMessage);
  }
  const std::size_t length = aBytes.size() - start - kFrameHeaderBytes;
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
    const std::size_t shift = 8 * (kFrameHeaderBytes - 1 - i);
    aBytes[start + i] = static_cast<char>(length >> shift & 0xFFU);
  }
}

Result<std::size_t>
FrameLength(const std::array<unsigned char, kFrameHeaderBytes>& aHeader,
            const std::string& aPeer)
{
  std::size_t length = 0;
  for (const unsigned char byte : aHeader) {
    length = length << 8U | byte;
  }
  if (length == 0) {
    return Error(ErrorCode::Malformed, "frame.length", aPeer, "empty frame");
  }
  if (length > kMaxFrameBytes) {
    return Error(ErrorCode::TooLarge,
                 "frame.length",
                 aPeer,
                 std::to_string(length) + " bytes");
  }
  return length;
}

Result<PeerMessage>
DecodeMessage(std::string_view aPayload, const std::string& aPeer)
{
  Reader reader(aPayload);
  PeerMessage message;
  const std::uint64_t index = reader.GetNumber();
  if (!GetAlternative(reader, index, message) || !reader.IsWhole()) {
    return Error(ErrorCode::Malformed,
                 "frame.decode",
                 aPeer,
                 "message kind " + std::to_string(index) + ", " +
                   std::to_string(aPayload.size()) + " bytes");
  }
  return message;
}

} // namespace tarragontray
