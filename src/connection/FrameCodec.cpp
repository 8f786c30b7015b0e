#include "connection/FrameCodec.h"

#include <concepts>
#include <optional>
#include <type_traits>
#include <utility>
#include <vector>

#include "connection/CerealTypes.h"

namespace tarragontray {

namespace {

template<typename T, typename Message>
concept Is = std::same_as<std::remove_const_t<T>, Message>;

/// Encodes the fields that Fields() lists.
class Encoder
{
public:
  explicit Encoder(Writer& aWriter)
    : m_writer(aWriter)
  {
  }

  template<typename... T>
  void operator()(const T&... aFields)
  {
    (Put(m_writer, aFields), ...);
  }
  template<typename T>
  void Enum(T aValue, T /*aLast*/)
  {
    PutEnum(m_writer, aValue);
  }
  template<typename T>
  void List(const std::vector<T>& aItems)
  {
    m_writer.PutNumber(aItems.size());
    for (const T& item : aItems) {
      Fields(*this, item);
    }
  }
  template<typename T>
  void Optional(const std::optional<T>& aValue)
  {
    m_writer.PutNumber(aValue ? 1 : 0);
    if (aValue) {
      Fields(*this, *aValue);
    }
  }

private:
  Writer& m_writer;
};

/// Decodes the fields that Fields() lists.
class Decoder
{
public:
  explicit Decoder(Reader& aReader)
    : m_reader(aReader)
  {
  }

  template<typename... T>
  void operator()(T&... aFields)
  {
    (Get(m_reader, aFields), ...);
  }
  template<typename T>
  void Enum(T& aValue, T aLast)
  {
    GetEnum(m_reader, aValue, aLast);
  }
  template<typename T>
  void List(std::vector<T>& aItems)
  {
    const std::size_t count = m_reader.GetCount();
    for (std::size_t i = 0; i < count && !m_reader.IsFailed(); ++i) {
      Fields(*this, aItems.emplace_back());
    }
  }
  template<typename T>
  void Optional(std::optional<T>& aValue)
  {
    if (m_reader.GetNumber() != 0) {
      Fields(*this, aValue.emplace());
    }
  }

private:
  Reader& m_reader;
};

// Fields() lists the fields of a message in the order of the encoding, for both
// Encoder and Decoder.

template<typename Coder, Is<HttpHeader> T>
void
Fields(Coder& aCoder, T& aHeader)
{
  aCoder(aHeader.m_name, aHeader.m_value);
}

template<typename Coder, Is<DeferredBody> T>
void
Fields(Coder& aCoder, T& aBody)
{
  aCoder(aBody.m_size, aBody.m_hash);
}

template<typename Coder, Is<Call> T>
void
Fields(Coder& aCoder, T& aCall)
{
  aCoder(aCall.m_id,
         aCall.m_operation,
         aCall.m_caller,
         aCall.m_service,
         aCall.m_route,
         aCall.m_class,
         aCall.m_version,
         aCall.m_origin,
         aCall.m_priority,
         aCall.m_idempotent,
         aCall.m_attempt,
         aCall.m_timeRemaining,
         aCall.m_objectiveRemaining,
         aCall.m_http.m_method,
         aCall.m_http.m_target);
  aCoder.List(aCall.m_http.m_headers);
  aCoder(aCall.m_http.m_body);
  aCoder.Optional(aCall.m_deferredBody);
}

template<typename Coder, Is<Answer> T>
void
Fields(Coder& aCoder, T& aAnswer)
{
  aCoder(aAnswer.m_id);
  aCoder.Enum(aAnswer.m_outcome, CallOutcome::Unknown);
  aCoder.Enum(aAnswer.m_refusal, kLastRefusalReason);
  aCoder(aAnswer.m_load.m_running,
         aAnswer.m_load.m_queued,
         aAnswer.m_load.m_slots,
         aAnswer.m_load.m_pace,
         aAnswer.m_serviceTime,
         aAnswer.m_retryAfter,
         aAnswer.m_http.m_status);
  aCoder.List(aAnswer.m_http.m_headers);
  aCoder(aAnswer.m_http.m_body);
}

template<typename Coder, Is<CancelCall> T>
void
Fields(Coder& aCoder, T& aCancel)
{
  aCoder(aCancel.m_id, aCancel.m_onlyIfWaiting);
}

template<typename Coder, Is<OperationQuery> T>
void
Fields(Coder& aCoder, T& aQuery)
{
  aCoder(aQuery.m_id,
         aQuery.m_caller,
         aQuery.m_operation,
         aQuery.m_attempt,
         aQuery.m_sentTo);
}

template<typename Coder, Is<OperationReply> T>
void
Fields(Coder& aCoder, T& aReply)
{
  aCoder(aReply.m_id);
  aCoder.Enum(aReply.m_status, OperationStatus::Forgotten);
  aCoder.Optional(aReply.m_answer);
}

template<typename Coder, typename T>
requires Is<T, LinkPing> || Is<T, LinkPong>
void
Fields(Coder& aCoder, T& aMessage)
{
  aCoder(aMessage.m_number);
}

template<typename Coder, typename T>
requires Is<T, StateRequest> || Is<T, StateReply>
void
Fields(Coder& aCoder, T& aState)
{
  aCoder(aState.m_id, aState.m_bytes);
}

template<typename Coder, Is<LinkLeaving> T>
void
Fields(Coder& /*aCoder*/, T& /*aLeaving*/)
{
}

template<typename Coder, Is<BodyRequest> T>
void
Fields(Coder& aCoder, T& aRequest)
{
  aCoder(aRequest.m_id, aRequest.m_offset, aRequest.m_size);
}

template<typename Coder, Is<BodyData> T>
void
Fields(Coder& aCoder, T& aData)
{
  aCoder(aData.m_id, aData.m_bytes);
}

template<typename Coder, Is<TokenAmount> T>
void
Fields(Coder& aCoder, T& aAmount)
{
  aCoder(aAmount.m_account, aAmount.m_tokens);
}

template<typename Coder, Is<TokenGrant> T>
void
Fields(Coder& aCoder, T& aGrant)
{
  aCoder(
    aGrant.m_account, aGrant.m_tokens, aGrant.m_next, aGrant.m_isPlentiful);
}

template<typename Coder, Is<Duration> T>
void
Fields(Coder& aCoder, T& aDuration)
{
  aCoder(aDuration);
}

template<typename Coder, Is<LeaseRequest> T>
void
Fields(Coder& aCoder, T& aRequest)
{
  aCoder(aRequest.m_id);
  aCoder.Enum(aRequest.m_kind, LeaseKind::Transfer);
  aCoder(aRequest.m_node,
         aRequest.m_incarnation,
         aRequest.m_front,
         aRequest.m_fronts,
         aRequest.m_number,
         aRequest.m_configuration,
         aRequest.m_exclusiveFor,
         aRequest.m_echo.m_coordinator,
         aRequest.m_echo.m_time);
  aCoder.List(aRequest.m_wanted);
}

template<typename Coder, Is<LeaseReply> T>
void
Fields(Coder& aCoder, T& aReply)
{
  aCoder(aReply.m_id, aReply.m_stamp.m_coordinator, aReply.m_stamp.m_time);
  aCoder.Optional(aReply.m_age);
  aCoder(aReply.m_confirmed);
  aCoder.List(aReply.m_granted);
}

/// Decodes the message kind with index aIndex. Returns false when there is no
/// such kind.
template<std::size_t I = 0>
bool
GetAlternative(Reader& aReader, std::uint64_t aIndex, PeerMessage& aMessage)
{
  if constexpr (I < std::variant_size_v<PeerMessage>) {
    if (aIndex == I) {
      Decoder decoder(aReader);
      Fields(decoder, aMessage.emplace<I>());
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
    Encoder encoder(writer);
    std::visit([&](const auto& aBody) { Fields(encoder, aBody); }, aMessage);
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
                 std::to_string(length) + " bytes, maximum " +
                   std::to_string(kMaxFrameBytes));
  }
  return length;
}

Result<PeerMessage>
DecodeMessage(std::string_view aPayload, const std::string& aPeer)
{
  Reader reader(aPayload);
  PeerMessage message;
  const std::uint64_t index = reader.GetNumber();
  if (!GetAlternative(reader, index, message) || !reader.IsFullyRead()) {
    return Error(ErrorCode::Malformed,
                 "frame.decode",
                 aPeer,
                 "message kind " + std::to_string(index) + " of " +
                   std::to_string(aPayload.size()) +
                   " bytes is unknown, out of range, truncated or followed "
                   "by other bytes");
  }
  return message;
}

} // namespace tarragontray
