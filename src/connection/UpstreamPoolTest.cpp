#include "connection/UpstreamPool.h"

#include <array>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <netinet/tcp.h>

#include "connection/HttpServer.h"

namespace tarragontray {

namespace asio = boost::asio;

namespace {

constexpr Duration kPauseBeforeEnd = std::chrono::milliseconds(5);
constexpr Duration kSlow = std::chrono::milliseconds(60);

/// An upstream that answers with the target of the request; "/slow" is answered
/// after a delay.
class FakeUpstream
{
public:
  FakeUpstream()
    : m_pool(UpstreamPool::Create(m_context, m_clock))
  {
    HttpServerSettings settings;
    settings.m_address = NetworkAddress(0x7F000001, 0);
    m_server = HttpServer::Create(m_context,
                                  settings,
                                  [this](HttpRequestParts aRequest) {
                                    return Serve(std::move(aRequest));
                                  })
                 .value();
    m_pool->SetAddress(m_server->Address());
  }

  /// Runs one call to its end.
  Answer Run(const std::string& aTarget, Duration aTimeRemaining)
  {
    Call call;
    call.m_id = CallId(++m_calls);
    call.m_http.m_method = "GET";
    call.m_http.m_target = aTarget;
    call.m_timeRemaining = aTimeRemaining;
    std::optional<Answer> result;
    const auto run = m_pool->Start(call, [&](Answer aAnswer) {
      result = std::move(aAnswer);
      m_context.stop();
    });
    m_context.restart();
    m_context.run();
    cr_assert(result->m_id == call.m_id);
    return *result;
  }

  UpstreamPool& Pool() { return *m_pool; }

private:
  asio::awaitable<HttpAnswerParts> Serve(HttpRequestParts aRequest)
  {
    if (aRequest.m_target == "/slow") {
      asio::steady_timer timer(m_context, kSlow);
      co_await timer.async_wait(asio::use_awaitable);
    }
    if (aRequest.m_target == "/shed") {
      HttpAnswerParts answer = TextAnswer(503, "busy");
      answer.m_headers.push_back({ "x-not-run", "1" });
      co_return answer;
    }
    co_return TextAnswer(200, aRequest.m_target);
  }

  asio::io_context m_context{ 1 };
  SystemClock m_clock;
  std::shared_ptr<HttpServer> m_server;
  std::unique_ptr<UpstreamPool> m_pool;
  std::uint64_t m_calls = 0;
};

/// An upstream on raw sockets; subclasses decide what a connection does.
class RawUpstream
{
public:
  RawUpstream()
    : m_acceptor(m_context,
                 { asio::ip::address_v4::loopback(), std::uint16_t{ 0 } })
    , m_pool(UpstreamPool::Create(m_context, m_clock))
  {
    asio::co_spawn(m_context, Accept(), asio::detached);
    m_pool->SetAddress(
      NetworkAddress(0x7F000001, m_acceptor.local_endpoint().port()));
  }
  virtual ~RawUpstream() = default;

  Answer Run(bool aIsIdempotent)
  {
    Call call;
    call.m_id = CallId(++m_calls);
    call.m_idempotent = aIsIdempotent;
    call.m_http.m_method = "POST";
    call.m_http.m_target = "/";
    call.m_http.m_body = m_body;
    call.m_timeRemaining = std::chrono::seconds(5);
    std::optional<Answer> result;
    const auto done = [&](Answer aAnswer) {
      result = std::move(aAnswer);
      m_context.stop();
    };
    const auto run = m_mayResend ? m_pool->Start(call, done, m_mayResend)
                                 : m_pool->Start(call, done);
    m_context.restart();
    m_context.run();
    return *result;
  }

  /// Sent with each call.
  std::string m_body;
  int m_connections = 0;
  /// Null: no call is sent again.
  UpstreamPool::MayResend m_mayResend;

protected:
  virtual asio::awaitable<void> Serve(asio::ip::tcp::socket aSocket) = 0;

  asio::io_context m_context{ 1 };
  SystemClock m_clock;
  asio::ip::tcp::acceptor m_acceptor;

private:
  asio::awaitable<void> Accept()
  {
    while (true) {
      asio::ip::tcp::socket socket =
        co_await m_acceptor.async_accept(asio::use_awaitable);
      ++m_connections;
      asio::co_spawn(m_context, Serve(std::move(socket)), asio::detached);
    }
  }

  std::unique_ptr<UpstreamPool> m_pool;
  std::uint64_t m_calls = 0;
};

/// How an upstream ends its connection after an early answer.
enum class Ending
{
  Reset,
  CloseWithUnreadInput,
  /// Shuts down its sending side and reads the rest of the request.
  HalfClose,
  /// Reads the rest of the request and keeps the connection open.
  None,
};

/// Reads the first bytes of a request, writes an answer at once and ends the
/// connection while the request is still being written.
class EarlyUpstream final : public RawUpstream
{
public:
  EarlyUpstream(std::string aAnswer, Ending aEnding)
    : m_answer(std::move(aAnswer))
    , m_ending(aEnding)
  {
    // A small window keeps the write of a large request from ending early.
    using MaxSegment =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;
    m_acceptor.set_option(MaxSegment(1400));
    m_acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
  }

private:
  asio::awaitable<void> Serve(asio::ip::tcp::socket aSocket) override
  {
    std::array<char, 1024> bytes{};
    boost::system::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    co_await aSocket.async_read_some(asio::buffer(bytes), token);
    co_await asio::async_write(aSocket, asio::buffer(m_answer), token);
    // Until the write of the request waits for the window.
    asio::steady_timer timer(aSocket.get_executor(), kPauseBeforeEnd);
    co_await timer.async_wait(token);
    if (m_ending == Ending::Reset) {
      aSocket.set_option(asio::socket_base::linger(true, 0));
      // The destructor would not reset the connection.
      aSocket.close();
      co_return;
    }
    if (m_ending == Ending::HalfClose) {
      aSocket.shutdown(asio::ip::tcp::socket::shutdown_send);
    }
    while (!error &&
           (m_ending == Ending::HalfClose || m_ending == Ending::None)) {
      co_await aSocket.async_read_some(asio::buffer(bytes), token);
    }
  }

  const std::string m_answer;
  const Ending m_ending;
};

/// Writes fixed bytes for each request of a connection, then closes it.
class ScriptedUpstream final : public RawUpstream
{
public:
  explicit ScriptedUpstream(std::vector<std::string> aAnswers)
    : m_answers(std::move(aAnswers))
  {
  }

private:
  asio::awaitable<void> Serve(asio::ip::tcp::socket aSocket) override
  {
    std::array<char, 4096> bytes{};
    boost::system::error_code error;
    for (const std::string& answer : m_answers) {
      co_await aSocket.async_read_some(
        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        co_return;
      }
      co_await asio::async_write(
        aSocket, asio::buffer(answer), asio::use_awaitable);
    }
  }

  std::vector<std::string> m_answers;
};

/// Answers the first request of each connection, keeps the connection open and
/// resets it when the second request has arrived, after a pause.
class ResettingUpstream final : public RawUpstream
{
public:
  explicit ResettingUpstream(Duration aPause = Duration(0))
    : m_pause(aPause)
  {
  }

private:
  asio::awaitable<void> Serve(asio::ip::tcp::socket aSocket) override
  {
    std::array<char, 4096> bytes{};
    co_await aSocket.async_read_some(asio::buffer(bytes), asio::use_awaitable);
    const std::string answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    co_await asio::async_write(
      aSocket, asio::buffer(answer), asio::use_awaitable);
    co_await aSocket.async_read_some(asio::buffer(bytes), asio::use_awaitable);
    asio::steady_timer timer(aSocket.get_executor(), m_pause);
    co_await timer.async_wait(asio::use_awaitable);
    aSocket.set_option(asio::socket_base::linger(true, 0));
  }

  const Duration m_pause;
};

} // namespace

Test(UpstreamPool, AnIdempotentCallIsSentAgainAfterAReset)
{
  ResettingUpstream upstream;
  upstream.m_mayResend = [](Duration /*aSinceSent*/) { return true; };
  for (int i = 0; i < 3; ++i) {
    cr_assert(upstream.Run(true).m_outcome == CallOutcome::Done);
  }
  cr_assert_eq(upstream.m_connections, 3);
}

/// Guards against a second send that nobody has decided on: the upstream may
/// leave, and calls beyond its retry budget reach it.
Test(UpstreamPool, AnIdempotentCallIsNotSentAgainByThePoolItself)
{
  ResettingUpstream upstream;
  cr_assert(upstream.Run(true).m_outcome == CallOutcome::Done);
  cr_assert(upstream.Run(true).m_outcome == CallOutcome::Unknown);
  cr_assert_eq(upstream.m_connections, 1);
}

Test(UpstreamPool, TheDecisionToSendAgainKnowsHowLongTheCallWasAtTheUpstream)
{
  ResettingUpstream upstream(kSlow);
  Duration sinceSent{ 0 };
  upstream.m_mayResend = [&](Duration aSinceSent) {
    sinceSent = aSinceSent;
    return false;
  };
  cr_assert(upstream.Run(true).m_outcome == CallOutcome::Done);
  cr_assert(upstream.Run(true).m_outcome == CallOutcome::Unknown);
  cr_assert(sinceSent >= kSlow);
  cr_assert_eq(upstream.m_connections, 1);
}

Test(UpstreamPool, ANonIdempotentCallIsNotSentAgain)
{
  ResettingUpstream upstream;
  cr_assert(upstream.Run(false).m_outcome == CallOutcome::Done);
  cr_assert(upstream.Run(false).m_outcome == CallOutcome::Unknown);
  cr_assert_eq(upstream.m_connections, 1);
}

Test(UpstreamPool, ANonIdempotentCallUsesNoConnectionThatWasIdleForLong)
{
  ResettingUpstream upstream;
  for (int i = 0; i < 3; ++i) {
    cr_assert(upstream.Run(false).m_outcome == CallOutcome::Done);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
  }
  cr_assert_eq(upstream.m_connections, 3);
}

Test(UpstreamPool, ALateAnswerNeverReachesTheNextCall)
{
  FakeUpstream upstream;
  for (int i = 0; i < 5; ++i) {
    const Answer late = upstream.Run("/slow", kSlow / 4);
    cr_assert(late.m_outcome == CallOutcome::Unknown);
    const std::string target = "/own-" + std::to_string(i);
    const Answer own = upstream.Run(target, std::chrono::seconds(5));
    cr_assert(own.m_outcome == CallOutcome::Done);
    cr_assert(own.m_http.m_body == target, "%s", own.m_http.m_body.c_str());
  }
}

Test(UpstreamPool, ShedCallsAndMissingUpstreamsAreNotRun)
{
  FakeUpstream upstream;
  const Answer shed = upstream.Run("/shed", std::chrono::seconds(5));
  cr_assert(shed.m_outcome == CallOutcome::NotRun);
  // Port 9 of this address has no listener.
  upstream.Pool().SetAddress(NetworkAddress(0x7F000001, 9));
  const Answer gone = upstream.Run("/", std::chrono::seconds(5));
  cr_assert(gone.m_outcome == CallOutcome::NotRun);
  cr_assert(gone.m_refusal == RefusalReason::UpstreamGone);
}

/// A faulty upstream repeats an earlier refusal on the kept connection,
/// although it runs the call.
Test(UpstreamPool, RepeatedRefusalPassesForTheAnswerToALaterCall)
{
  const std::string refusal =
    "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
  ScriptedUpstream upstream({ refusal, refusal });
  cr_assert(upstream.Run(false).m_outcome == CallOutcome::NotRun);
  upstream.Run(false);
  cr_assert_eq(upstream.m_connections, 2);
}

Test(UpstreamPool, AnswerWhoseHeadIsCutPassesForComplete)
{
  for (const char* head : { "HTTP/1.1 200 OK",
                            "HTTP/1.1 200 OK\r\n",
                            "HTTP/1.1 200 OK\r\nx-signature: a\r\ncont",
                            "HTTP/1.1 200 OK\r\nx-signature: a\r\n",
                            "HTTP/1.1 200 OK\r\nx-signature: a\r\n\r" }) {
    ScriptedUpstream upstream({ head });
    cr_assert(upstream.Run(false).m_outcome == CallOutcome::Unknown,
              "after \"%s\"",
              head);
  }
}

/// A faulty upstream: bytes that are no response were handed to the caller, or
/// ended the process when they were written to it.
Test(UpstreamPool, ResponsesWithoutAValidStatusAreNoAnswers)
{
  const std::string rest = "content-length: 2\r\n\r\nok";
  for (const char* status : { "000",
                              "099",
                              "600",
                              "999",
                              "20",
                              "2000",
                              "2x0",
                              "-20",
                              "",
                              "65736" }) {
    const std::string line =
      "HTTP/1.1 " + std::string(status) + " OK\r\n" + rest;
    ScriptedUpstream upstream({ line });
    const Answer answer = upstream.Run(false);
    cr_assert(answer.m_outcome == CallOutcome::Unknown, "\"%s\"", status);
    cr_assert_eq(answer.m_http.m_status, 0);
    cr_assert(answer.m_http.m_body.empty());
  }
  for (const char* status : { "200", "404", "599" }) {
    ScriptedUpstream upstream(
      { "HTTP/1.1 " + std::string(status) + " OK\r\n" + rest });
    cr_assert(upstream.Run(false).m_outcome == CallOutcome::Done);
  }
}

/// After such bytes the connection must not carry another call's answer.
Test(UpstreamPool, AConnectionWithAnInvalidResponseIsNotUsedAgain)
{
  const std::string rest = "content-length: 0\r\n\r\n";
  ScriptedUpstream upstream(
    { "HTTP/1.1 600 Odd\r\n" + rest, "HTTP/1.1 200 OK\r\n" + rest });
  cr_assert(upstream.Run(false).m_outcome == CallOutcome::Unknown);
  upstream.Run(false);
  cr_assert_eq(upstream.m_connections, 2);
}

Test(UpstreamPool, InterimResponsesWithoutEndAreNoAnswer)
{
  std::string interim;
  for (int i = 0; i < 1'000; ++i) {
    interim += "HTTP/1.1 102 Processing\r\n\r\n";
  }
  ScriptedUpstream upstream({ interim });
  cr_assert(upstream.Run(false).m_outcome == CallOutcome::Unknown);
}

Test(UpstreamPool, ResponsesWhoseLengthIsAmbiguousAreNoAnswers)
{
  for (const char* lengths :
       { "content-length: 2\r\ncontent-length: 3\r\n",
         "content-length: 2, 3\r\n",
         "content-length: 2\r\ntransfer-encoding: chunked\r\n",
         "content-length: -2\r\n" }) {
    ScriptedUpstream upstream(
      { "HTTP/1.1 200 OK\r\n" + std::string(lengths) + "\r\nok!" });
    cr_assert(upstream.Run(false).m_outcome == CallOutcome::Unknown,
              "after \"%s\"",
              lengths);
  }
}

namespace {

/// Runs calls with large bodies against upstreams that answer at once.
void
CheckEarlyAnswers(const std::string& aAnswer,
                  Ending aEnding,
                  CallOutcome aExpected)
{
  constexpr int kCallsOfEachSize = 20;
  for (const std::size_t size : { 200'000, 900'000 }) {
    for (int i = 0; i < kCallsOfEachSize; ++i) {
      EarlyUpstream upstream(aAnswer, aEnding);
      upstream.m_body = std::string(size, 'u');
      const Answer answer = upstream.Run(false);
      cr_assert(answer.m_outcome == aExpected,
                "%zu bytes sent, call %d: status %d with %zu bytes",
                size,
                i,
                answer.m_http.m_status,
                answer.m_http.m_body.size());
    }
  }
}

const std::string kPart(1500, 'a');

} // namespace

/// Guards against a part of an answer that passes for all of it: the reset that
/// cuts it off is reported to the write of the request.
Test(UpstreamPool, AnAnswerWithoutALengthIsNotCompleteAfterAReset)
{
  const std::string answer =
    "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n" + kPart;
  CheckEarlyAnswers(answer, Ending::Reset, CallOutcome::Unknown);
  CheckEarlyAnswers(answer, Ending::CloseWithUnreadInput, CallOutcome::Unknown);
  const std::string old = "HTTP/1.0 200 OK\r\n\r\n" + kPart;
  CheckEarlyAnswers(old, Ending::Reset, CallOutcome::Unknown);
}

Test(UpstreamPool, AnAnswerWithALengthIsNotCompleteAfterAReset)
{
  const std::string length =
    "HTTP/1.1 200 OK\r\ncontent-length: 4000\r\n\r\n" + kPart;
  CheckEarlyAnswers(length, Ending::Reset, CallOutcome::Unknown);
  const std::string chunked =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5dc\r\n" + kPart;
  CheckEarlyAnswers(chunked, Ending::Reset, CallOutcome::Unknown);
}

/// The other side of the same rule: an early answer that is whole is delivered.
Test(UpstreamPool, AnEarlyAnswerIsCompleteWhenItsEndIsCertain)
{
  const std::string endless =
    "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n" + kPart;
  CheckEarlyAnswers(endless, Ending::HalfClose, CallOutcome::Done);
  const std::string length =
    "HTTP/1.1 200 OK\r\ncontent-length: 1500\r\n\r\n" + kPart;
  CheckEarlyAnswers(length, Ending::None, CallOutcome::Done);
}

/// The rest of the request would be taken for the next one.
Test(UpstreamPool, AConnectionIsNotReusedAfterAnEarlyAnswer)
{
  EarlyUpstream upstream("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
                         Ending::None);
  upstream.m_body = std::string(900'000, 'u');
  cr_assert(upstream.Run(false).m_outcome == CallOutcome::Done);
  cr_assert(upstream.Run(false).m_outcome == CallOutcome::Done);
  cr_assert_eq(upstream.m_connections, 2);
}

} // namespace tarragontray
