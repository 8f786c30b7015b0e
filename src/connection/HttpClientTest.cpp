#include "connection/HttpClient.h"

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include "connection/Sockets.h"

namespace tarragontray {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr Duration kPause = 50ms;

/// Writes aHead, then aPiece every kPause, aTimes times or until the caller
/// closes the connection.
asio::awaitable<void>
WriteSlowly(tcp::acceptor& aAcceptor,
            std::string aHead,
            std::string aPiece,
            int aTimes)
{
  tcp::socket socket = co_await Accept(aAcceptor);
  asio::steady_timer pause(socket.get_executor());
  co_await asio::async_write(socket, asio::buffer(aHead), kAwait);
  for (int i = 0; i < aTimes; ++i) {
    pause.expires_after(kPause);
    co_await pause.async_wait(kAwait);
    const auto [error, size] =
      co_await asio::async_write(socket, asio::buffer(aPiece), kAwait);
    if (error) {
      co_return;
    }
  }
}

struct Ended
{
  Result<HttpAnswerParts> m_answer;
  Duration m_after{ 0 };
};

/// Runs one call to its end.
Ended
Get(asio::io_context& aContext, HttpClientSettings aSettings, Duration aTimeout)
{
  const auto client = HttpClient::Create(aContext, std::move(aSettings));
  const auto start = std::chrono::steady_clock::now();
  std::optional<Result<HttpAnswerParts>> answer;
  HttpCall call;
  call.m_request.m_method = "GET";
  call.m_request.m_target = "/";
  call.m_step = "test";
  call.m_timeout = aTimeout;
  client->Send(std::move(call), [&](Result<HttpAnswerParts> aAnswer) {
    answer = std::move(aAnswer);
  });
  while (!answer) {
    aContext.run_one();
  }
  return { std::move(*answer), std::chrono::steady_clock::now() - start };
}

/// Runs one call to a server that answers with WriteSlowly.
Ended
GetFromSlowServer(const std::string& aHead,
                  const std::string& aPiece,
                  int aTimes,
                  HttpClientSettings aSettings,
                  Duration aTimeout)
{
  asio::io_context context(1);
  tcp::acceptor acceptor(context);
  cr_assert(
    Listen(acceptor, { .m_address = { 0x7F000001, 0 }, .m_step = "test" }));
  asio::co_spawn(
    context, WriteSlowly(acceptor, aHead, aPiece, aTimes), asio::detached);
  aSettings.m_peer = AddressOf(acceptor.local_endpoint());
  return Get(context, aSettings, aTimeout);
}

const std::string kHeaderFor2000Bytes =
  "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n";

} // namespace

Test(HttpClient, AnAnswerThatKeepsArrivingIsNotCutShort)
{
  constexpr int kPieces = 20;
  const Ended ended = GetFromSlowServer(kHeaderFor2000Bytes,
                                        std::string(100, 'x'),
                                        kPieces,
                                        {},
                                        kPieces * kPause / 4);
  cr_assert(ended.m_answer.has_value());
  cr_assert_eq(ended.m_answer.value().m_body.size(), 2000);
}

Test(HttpClient, AnAnswerThatStopsArrivingFailsAfterThePauseTimeout)
{
  HttpClientSettings settings;
  settings.m_pauseTimeout = 200ms;
  const Ended ended = GetFromSlowServer(
    kHeaderFor2000Bytes, std::string(100, 'x'), 2, settings, kPause);
  cr_assert(!ended.m_answer);
  cr_assert_lt(ended.m_after, 2s);
}

Test(HttpClient, AnEndlessAnswerFailsAtTheMaximumExtension)
{
  HttpClientSettings settings;
  settings.m_maxDeadlineExtension = 300ms;
  const Ended ended =
    GetFromSlowServer("HTTP/1.1 200 OK\r\n\r\n", "x", 1000, settings, 200ms);
  cr_assert(!ended.m_answer);
  cr_assert_lt(ended.m_after, 2s);
}

Test(HttpClient, EndlessTrailersFailAtABound)
{
  const Ended ended = GetFromSlowServer(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
    "x: " + std::string(100'000, 'y') + "\r\n",
    1000,
    {},
    2s);
  cr_assert(!ended.m_answer);
  cr_assert_lt(ended.m_after, 1s);
}

Test(HttpClient, ConnectingFailsAfterTheConnectTimeout)
{
  asio::io_context context(1);
  tcp::acceptor acceptor(context);
  acceptor.open(tcp::v4());
  acceptor.bind({ asio::ip::address_v4::loopback(), 0 });
  acceptor.listen(0);
  // SYNs beyond the backlog of the listener are dropped.
  std::vector<tcp::socket> waiting;
  for (int i = 0; i < 4; ++i) {
    waiting.emplace_back(context).async_connect(acceptor.local_endpoint(),
                                                [](const auto&) {});
  }
  context.run_for(100ms);
  HttpClientSettings settings;
  settings.m_peer = AddressOf(acceptor.local_endpoint());
  const Ended ended = Get(context, settings, 4s);
  cr_assert(!ended.m_answer);
  cr_assert(ended.m_answer.error().Code() == ErrorCode::Timeout);
  cr_assert_lt(ended.m_after, settings.m_connectTimeout * 2);
}

/// The platform's store or an upstream's health answer, through a faulty
/// intermediary: an interim or invalid response must not pass for an answer.
Test(HttpClient, ResponsesWithoutAValidStatusFail)
{
  const std::string rest = "content-length: 2\r\n\r\nok";
  for (const char* status :
       { "000", "099", "600", "999", "20", "2000", "2x0", "" }) {
    const Ended ended = GetFromSlowServer(
      "HTTP/1.1 " + std::string(status) + " OK\r\n" + rest, "", 0, {}, 1s);
    cr_assert(!ended.m_answer, "\"%s\"", status);
    cr_assert(
      ended.m_answer.error().Code() == ErrorCode::Malformed, "\"%s\"", status);
  }
}

Test(HttpClient, InterimResponsesAreSkippedAndBounded)
{
  const std::string interim = "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n";
  const std::string final = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
  const Ended one = GetFromSlowServer(interim + final, "", 0, {}, 1s);
  cr_assert(one.m_answer.has_value());
  cr_assert_eq(one.m_answer.value().m_status, 200);
  const Ended endless = GetFromSlowServer(interim, interim, 100, {}, 10s);
  cr_assert(!endless.m_answer);
  cr_assert(endless.m_answer.error().Code() == ErrorCode::Malformed);
}

Test(HttpClient, TwoDifferentLengthsFail)
{
  const Ended ended = GetFromSlowServer(
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok!",
    "",
    0,
    {},
    1s);
  cr_assert(!ended.m_answer);
  cr_assert(ended.m_answer.error().Code() == ErrorCode::Malformed);
}

} // namespace tarragontray
