#include "connection/FrameCodec.h"

#include <criterion/criterion.h>

#include "base/Random.h"

namespace tarragontray {

namespace {

Call
SampleCall()
{
  Call call;
  call.m_id = CallId(9);
  call.m_operation = OperationId("op-1");
  call.m_caller = ClientAccountId("mesqel-gate");
  call.m_service = { ClientAccountId("mesqel-gate"),
                     ServiceName("box-office") };
  call.m_route = RouteName("purchase");
  call.m_timeRemaining = std::chrono::milliseconds(250);
  call.m_http = { "POST", "/purchase", { { "host", "x" } }, "body" };
  return call;
}

std::string
FrameOf(const PeerMessage& aMessage)
{
  std::string bytes;
  AppendFrame(bytes, aMessage);
  return bytes;
}

PeerMessage
Decoded(const PeerMessage& aMessage)
{
  const std::string frame = FrameOf(aMessage);
  return DecodeMessage(std::string_view(frame).substr(kFrameHeaderBytes), "p")
    .value();
}

} // namespace

Test(FrameCodec, CallRoundTrips)
{
  const std::string frame = FrameOf(SampleCall());
  std::array<unsigned char, kFrameHeaderBytes> header{};
  std::copy_n(frame.begin(), kFrameHeaderBytes, header.begin());
  cr_assert(FrameLength(header, "p").value() ==
            frame.size() - kFrameHeaderBytes);
  const auto message =
    DecodeMessage(std::string_view(frame).substr(kFrameHeaderBytes), "p");
  cr_assert(message.has_value());
  const Call& call = std::get<Call>(message.value());
  cr_assert(call.m_operation == OperationId("op-1"));
  cr_assert(call.m_http.m_body == "body");
  cr_assert(call.m_http.m_headers.size() == 1);
  cr_assert(call.m_timeRemaining == std::chrono::milliseconds(250));
}

Test(FrameCodec, StoredAnswerRoundTrips)
{
  OperationReply reply{ CallId(3), OperationStatus::Done, Answer{} };
  reply.m_answer->m_http.m_status = 201;
  const std::string frame = FrameOf(reply);
  const auto message =
    DecodeMessage(std::string_view(frame).substr(kFrameHeaderBytes), "p");
  cr_assert(
    std::get<OperationReply>(message.value()).m_answer->m_http.m_status == 201);
}

Test(FrameCodec, EveryRefusalReasonRoundTrips)
{
  for (int i = 0; i <= static_cast<int>(kLastRefusalReason); ++i) {
    Answer answer;
    answer.m_refusal = static_cast<RefusalReason>(i);
    answer.m_retryAfter = std::chrono::milliseconds(i);
    const std::string frame = FrameOf(answer);
    const auto message =
      DecodeMessage(std::string_view(frame).substr(kFrameHeaderBytes), "p");
    cr_assert(message.has_value(), "reason %d was not decoded", i);
    const Answer& decoded = std::get<Answer>(message.value());
    cr_assert(decoded.m_refusal == answer.m_refusal);
    cr_assert(decoded.m_retryAfter == answer.m_retryAfter);
  }
}

// A field that is left out of the encoding would let a delayed request count,
// or make an answer without an age look like a fresh one.
Test(FrameCodec, LeaseMessagesRoundTrip)
{
  LeaseRequest request;
  request.m_id = CallId(5);
  request.m_kind = LeaseKind::Transfer;
  request.m_node = VmId("vm-1");
  request.m_incarnation = Incarnation(3);
  request.m_front = 1;
  request.m_fronts = 2;
  request.m_number = 9;
  request.m_configuration = Revision(77);
  request.m_exclusiveFor = std::chrono::milliseconds(1200);
  request.m_echo = { Incarnation(4), std::chrono::microseconds(123'456) };
  request.m_wanted = { { ClientAccountId("north"), Tokens(2500) } };
  cr_assert(std::get<LeaseRequest>(Decoded(request)) == request);
  LeaseReply reply;
  reply.m_id = CallId(5);
  reply.m_stamp = request.m_echo;
  reply.m_confirmed = Revision(77);
  reply.m_granted = { { ClientAccountId("north"),
                        Tokens(1000),
                        std::chrono::milliseconds(20),
                        true } };
  cr_assert(std::get<LeaseReply>(Decoded(reply)) == reply);
  reply.m_age = std::chrono::milliseconds(300);
  cr_assert(std::get<LeaseReply>(Decoded(reply)) == reply);
}

Test(FrameCodec, EveryTruncationIsRefused)
{
  const std::string frame = FrameOf(SampleCall());
  const std::string_view payload =
    std::string_view(frame).substr(kFrameHeaderBytes);
  for (std::size_t size = 0; size < payload.size(); ++size) {
    const auto message = DecodeMessage(payload.substr(0, size), "peer-1");
    cr_assert(!message.has_value(), "a prefix of %zu bytes was accepted", size);
    cr_assert(message.error().Peer() == "peer-1");
  }
}

Test(FrameCodec, TrailingBytesAreRefused)
{
  const std::string frame = FrameOf(LinkPing{ 1 }) + "x";
  cr_assert(!DecodeMessage(frame.substr(kFrameHeaderBytes), "p").has_value());
}

Test(FrameCodec, LengthIsBounded)
{
  cr_assert(FrameLength({ 0xFF, 0, 0, 0 }, "p").error().Code() ==
            ErrorCode::TooLarge);
  cr_assert(FrameLength({ 0, 0, 0, 0 }, "p").error().Code() ==
            ErrorCode::Malformed);
}

Test(FrameCodec, CorruptedBytesNeverCrash)
{
  constexpr int kInputs = 20'000;
  SeededRandom random(11);
  const std::string good = FrameOf(SampleCall()).substr(kFrameHeaderBytes);
  int accepted = 0;
  for (int i = 0; i < kInputs; ++i) {
    std::string bad = good;
    const std::uint64_t changes = 1 + random.Below(4);
    for (std::uint64_t c = 0; c < changes; ++c) {
      bad[random.Below(bad.size())] = static_cast<char>(random.Next());
    }
    bad.resize(random.Below(bad.size() + 1));
    accepted += DecodeMessage(bad, "p").has_value() ? 1 : 0;
  }
  cr_assert(accepted < kInputs);
}

} // namespace tarragontray
