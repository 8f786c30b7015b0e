#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include "connection/PeerLink.h"
#include "connection/Sockets.h"

namespace tarragontray {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t kStateBytes = 100'000;

/// Reads one message in pieces, with a pause after each.
asio::awaitable<PeerMessage>
ReadSlowly(tcp::socket& aSocket, std::size_t aPiece, Duration aPause)
{
  std::array<unsigned char, kFrameHeaderBytes> header{};
  co_await asio::async_read(aSocket, asio::buffer(header), asio::use_awaitable);
  std::string payload(FrameLength(header, "caller").value(), '\0');
  asio::steady_timer pause(aSocket.get_executor());
  for (std::size_t at = 0; at < payload.size(); at += aPiece) {
    co_await asio::async_read(
      aSocket,
      asio::buffer(payload.data() + at, std::min(aPiece, payload.size() - at)),
      asio::use_awaitable);
    pause.expires_after(aPause);
    co_await pause.async_wait(asio::use_awaitable);
  }
  co_return DecodeMessage(payload, "caller").value();
}

/// Writes one message in pieces, with a pause after each.
asio::awaitable<void>
WriteSlowly(tcp::socket& aSocket,
            const PeerMessage& aMessage,
            std::size_t aPiece,
            Duration aPause)
{
  std::string frame;
  AppendFrame(frame, aMessage);
  asio::steady_timer pause(aSocket.get_executor());
  for (std::size_t at = 0; at < frame.size(); at += aPiece) {
    co_await asio::async_write(
      aSocket,
      asio::buffer(frame.data() + at, std::min(aPiece, frame.size() - at)),
      asio::use_awaitable);
    pause.expires_after(aPause);
    co_await pause.async_wait(asio::use_awaitable);
  }
}

/// Answers one StateRequest slowly.
asio::awaitable<void>
AnswerStateSlowly(tcp::acceptor& aAcceptor, std::size_t aPiece, Duration aPause)
{
  tcp::socket socket = co_await Accept(aAcceptor);
  const PeerMessage request =
    co_await ReadSlowly(socket, kStateBytes, Duration(0));
  const PeerMessage reply = StateReply{ std::get<StateRequest>(request).m_id,
                                        std::string(kStateBytes, 'x') };
  co_await WriteSlowly(socket, reply, aPiece, aPause);
}

/// Reads one call slowly and answers it.
asio::awaitable<void>
ReadCallSlowly(tcp::acceptor& aAcceptor, std::size_t aPiece, Duration aPause)
{
  tcp::socket socket = co_await Accept(aAcceptor);
  const PeerMessage call = co_await ReadSlowly(socket, aPiece, aPause);
  Answer answer;
  answer.m_id = std::get<Call>(call).m_id;
  answer.m_outcome = CallOutcome::Done;
  const PeerMessage reply = answer;
  co_await WriteSlowly(socket, reply, kStateBytes, Duration(0));
}

asio::awaitable<void>
RunCall(std::shared_ptr<PeerLink> aLink,
        Call aCall,
        std::optional<Exchange<Answer>>& aResult)
{
  aResult = co_await aLink->Run(std::move(aCall), std::chrono::seconds(5));
}

asio::awaitable<void>
FetchState(std::shared_ptr<PeerLink> aLink,
           std::optional<Exchange<StateReply>>& aResult)
{
  aResult = co_await aLink->Fetch("state", std::chrono::seconds(5));
}

} // namespace

Test(SlowLink, AnAnswerThatArrivesForLongerThanTheReceiveTimeoutIsNotCutShort)
{
  asio::io_context context(1);
  const SystemClock clock;
  const LinkSettings settings;
  tcp::acceptor acceptor(context);
  cr_assert(
    Listen(acceptor, { .m_address = { 0x7F000001, 0 }, .m_step = "test" }));
  constexpr std::size_t kPieces = 20;
  asio::co_spawn(context,
                 AnswerStateSlowly(acceptor,
                                   kStateBytes / kPieces,
                                   settings.m_receiveTimeout / 8),
                 asio::detached);
  const auto link = PeerLink::Create(
    context, clock, AddressOf(acceptor.local_endpoint()), settings);
  std::optional<Exchange<StateReply>> result;
  asio::co_spawn(context, FetchState(link, result), asio::detached);
  while (!result) {
    context.run_one();
  }
  const auto* reply = std::get_if<StateReply>(&*result);
  cr_assert(reply != nullptr, "the link was closed while bytes arrived");
  cr_assert_eq(reply->m_bytes.size(), kStateBytes);
  link->Close();
  context.poll();
}

Test(SlowLink, ARequestThatIsSentForLongerThanTheReceiveTimeoutIsNotCutShort)
{
  asio::io_context context(1);
  const SystemClock clock;
  const LinkSettings settings;
  tcp::acceptor acceptor(context);
  cr_assert(
    Listen(acceptor, { .m_address = { 0x7F000001, 0 }, .m_step = "test" }));
  constexpr std::size_t kPieces = 16;
  Call call;
  call.m_http.m_body = std::string(kMaxCallBytes.Value(), 'x');
  asio::co_spawn(context,
                 ReadCallSlowly(acceptor,
                                call.m_http.m_body.size() / kPieces,
                                settings.m_receiveTimeout / 8),
                 asio::detached);
  const auto link = PeerLink::Create(
    context, clock, AddressOf(acceptor.local_endpoint()), settings);
  std::optional<Exchange<Answer>> result;
  asio::co_spawn(
    context, RunCall(link, std::move(call), result), asio::detached);
  while (!result) {
    context.run_one();
  }
  cr_assert(std::holds_alternative<Answer>(*result),
            "the link was closed while the request was in transit");
  link->Close();
  context.poll();
}

} // namespace tarragontray
