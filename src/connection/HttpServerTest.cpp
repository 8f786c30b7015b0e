#include "connection/HttpServer.h"

#include <atomic>
#include <future>
#include <thread>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace tarragontray {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

asio::awaitable<HttpAnswerParts>
Echo(HttpRequestParts aRequest)
{
  co_return TextAnswer(200, aRequest.m_method + " " + aRequest.m_body);
}

/// Blocks until the peer's kernel has taken all that was written.
void
WaitUntilArrived(tcp::socket& aSocket)
{
  int unacknowledged = 1;
  while (unacknowledged > 0) {
    cr_assert_eq(ioctl(aSocket.native_handle(), SIOCOUTQ, &unacknowledged), 0);
    std::this_thread::yield();
  }
}

/// A server on a free port, with its own thread.
class RunningServer
{
public:
  explicit RunningServer(std::uint64_t aMaxBody = 100)
  {
    HttpServerSettings settings;
    settings.m_address = NetworkAddress(0x7F000001, 0);
    settings.m_maxBodyBytes = aMaxBody;
    m_server = HttpServer::Create(m_context, settings, Echo).value();
    m_address = m_server->Address();
    m_thread = std::thread([this] { m_context.run(); });
  }
  ~RunningServer()
  {
    m_context.stop();
    m_thread.join();
  }

  /// Sends raw bytes and reads until the server closes the connection.
  std::string Exchange(const std::string& aBytes) const
  {
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(
      tcp::endpoint(asio::ip::address_v4(m_address.Ip()), m_address.Port()));
    asio::write(socket, asio::buffer(aBytes));
    std::string answer;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
  }

  /// Sends a request in two parts and drains the server between them.
  std::string ExchangeAcrossDrain(const std::string& aFirst,
                                  const std::string& aSecond)
  {
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(
      tcp::endpoint(asio::ip::address_v4(m_address.Ip()), m_address.Port()));
    // The answer to the first request shows that the server reads the second.
    asio::write(socket, asio::buffer("GET / HTTP/1.1\r\n\r\n" + aFirst));
    std::string answer;
    asio::read_until(socket, asio::dynamic_buffer(answer), "GET ");
    std::promise<void> drained;
    asio::post(m_context, [&] {
      m_server->Drain();
      drained.set_value();
    });
    drained.get_future().wait();
    boost::system::error_code error;
    asio::write(socket, asio::buffer(aSecond), error);
    answer.clear();
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
  }

  /// Sends a request on an idle connection and drains the server before it can
  /// read the request.
  std::string ExchangeUnreadAtDrain(const std::string& aRequest)
  {
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(
      tcp::endpoint(asio::ip::address_v4(m_address.Ip()), m_address.Port()));
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    std::string answer;
    asio::read_until(socket, asio::dynamic_buffer(answer), "GET ");
    // The server's thread runs this task and reads nothing meanwhile.
    asio::post(m_context, [&] {
      asio::write(socket, asio::buffer(aRequest));
      WaitUntilArrived(socket);
      m_server->Drain();
    });
    boost::system::error_code error;
    answer.clear();
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
  }

private:
  asio::io_context m_context{ 1 };
  std::shared_ptr<HttpServer> m_server;
  NetworkAddress m_address;
  std::thread m_thread;
};

} // namespace

Test(HttpServer, ServesTwoRequestsOnOneConnection)
{
  const RunningServer server;
  const std::string answer =
    server.Exchange("POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\nhi"
                    "GET / HTTP/1.1\r\nconnection: close\r\n\r\n");
  cr_assert(answer.find("POST hi") != std::string::npos);
  cr_assert(answer.find("GET ") != std::string::npos);
}

Test(HttpServer, RefusesOversizedBodiesAndHeaders)
{
  const RunningServer server(4);
  const std::string body =
    server.Exchange("POST / HTTP/1.1\r\ncontent-length: 5\r\n\r\n12345");
  cr_assert(body.starts_with("HTTP/1.1 413"), "%s", body.c_str());
  const std::string header = server.Exchange(
    "GET / HTTP/1.1\r\nx: " + std::string(20'000, 'y') + "\r\n\r\n");
  cr_assert(header.starts_with("HTTP/1.1 431"), "%s", header.c_str());
}

Test(HttpServer, RefusesAnEndlessChunkLine)
{
  const RunningServer server;
  const std::string answer =
    server.Exchange("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n4;" +
                    std::string(1U << 20U, 'x'));
  cr_assert(answer.starts_with("HTTP/1.1 400"), "%s", answer.c_str());
}

Test(HttpServer, RefusesMalformedRequests)
{
  const RunningServer server;
  const std::string answer = server.Exchange("no http at all\r\n\r\n");
  cr_assert(answer.starts_with("HTTP/1.1 400"), "%s", answer.c_str());
}

Test(HttpServer, DrainLetsARequestThatIsBeingReadEnd)
{
  RunningServer server;
  const std::string answer = server.ExchangeAcrossDrain(
    "POST / HTTP/1.1\r\ncontent-length: 4\r\n\r\nab", "cd");
  cr_assert(
    answer.find("POST abcd") != std::string::npos, "%s", answer.c_str());
}

/// Guards against a reset in place of the answer to a request that has arrived
/// on a kept connection when the server drains.
Test(HttpServer, DrainAnswersARequestThatWasNotReadYet)
{
  RunningServer server;
  const std::string answer = server.ExchangeUnreadAtDrain(
    "POST / HTTP/1.1\r\ncontent-length: 4\r\n\r\nabcd");
  cr_assert(
    answer.find("POST abcd") != std::string::npos, "%s", answer.c_str());
}

Test(HttpServer, NamesTheAddressInUse)
{
  asio::io_context context;
  HttpServerSettings settings;
  settings.m_address = NetworkAddress(0x7F000001, 0);
  const auto first = HttpServer::Create(context, settings, Echo);
  settings.m_address = first.value()->Address();
  const auto second = HttpServer::Create(context, settings, Echo);
  cr_assert(!second.has_value());
  cr_assert(second.error().Step() == "http.listen");
  cr_assert(second.error().Peer() == settings.m_address.ToString());
}

namespace {

/// Answers "/slow" after a delay and other targets at once; counts cancelled
/// handlers.
class SlowServer
{
public:
  SlowServer()
  {
    HttpServerSettings settings;
    settings.m_address = NetworkAddress(0x7F000001, 0);
    settings.m_onBegin = [this] { ++m_begun; };
    settings.m_onEnd = [this] { ++m_ended; };
    m_server = HttpServer::Create(m_context,
                                  settings,
                                  [this](HttpRequestParts aRequest) {
                                    return Serve(std::move(aRequest));
                                  })
                 .value();
    m_thread = std::thread([this] { m_context.run(); });
  }
  ~SlowServer()
  {
    m_context.stop();
    m_thread.join();
  }

  tcp::socket Connect(asio::io_context& aContext) const
  {
    tcp::socket socket(aContext);
    const NetworkAddress address = m_server->Address();
    socket.connect(
      tcp::endpoint(asio::ip::address_v4(address.Ip()), address.Port()));
    return socket;
  }
  /// Calls HttpServer::Leave on the server's thread.
  void Leave()
  {
    std::promise<void> left;
    asio::post(m_context, [&] {
      m_server->Leave();
      left.set_value();
    });
    left.get_future().wait();
  }

  std::atomic<int> m_begun = 0;
  std::atomic<int> m_ended = 0;
  std::atomic<int> m_cancelled = 0;
  std::atomic<int> m_served = 0;
  /// Requests that had begun when the last slow one ended.
  std::atomic<int> m_servedBeforeSlow = 0;

private:
  asio::awaitable<HttpAnswerParts> Serve(HttpRequestParts aRequest)
  {
    ++m_served;
    if (aRequest.m_target == "/slow") {
      asio::steady_timer timer(m_context, std::chrono::milliseconds(150));
      const auto [error] =
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
      m_cancelled += error ? 1 : 0;
      m_servedBeforeSlow = m_served.load();
    }
    co_return TextAnswer(200, aRequest.m_target);
  }

  asio::io_context m_context{ 1 };
  std::shared_ptr<HttpServer> m_server;
  std::thread m_thread;
};

std::string
ReadUntil(tcp::socket& aSocket, const std::string& aEnd)
{
  std::string text;
  boost::system::error_code error;
  asio::read_until(aSocket, asio::dynamic_buffer(text), aEnd, error);
  return text;
}

/// Waits up to 5 s for aCounter to equal aCount.
bool
Reaches(const std::atomic<int>& aCounter, int aCount)
{
  for (int i = 0; i < 500 && aCounter != aCount; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return aCounter == aCount;
}

} // namespace

Test(HttpServer, PipelinedRequestsRunAtOnceAndAreAnsweredInOrder)
{
  SlowServer server;
  asio::io_context context;
  tcp::socket socket = server.Connect(context);
  const auto start = std::chrono::steady_clock::now();
  asio::write(socket,
              asio::buffer(std::string("GET /slow HTTP/1.1\r\n\r\n"
                                       "GET /quick HTTP/1.1\r\n\r\n"
                                       "GET /slow HTTP/1.1\r\n\r\n"
                                       "GET /last HTTP/1.1\r\n\r\n")));
  const std::string answers = ReadUntil(socket, "/last");
  cr_assert(std::chrono::steady_clock::now() - start <
            std::chrono::milliseconds(290));
  const auto slow = answers.find("/slow");
  const auto quick = answers.find("/quick");
  const auto second = answers.rfind("/slow");
  cr_assert(slow < quick && quick < second && second < answers.find("/last"));
}

/// Overload: a caller that pipelines must not be slowed by a call that waits at
/// the head of its connection.
Test(HttpServer, ASlowRequestAtTheHeadDelaysNoStart)
{
  SlowServer server;
  asio::io_context context;
  tcp::socket socket = server.Connect(context);
  std::string requests = "GET /slow HTTP/1.1\r\n\r\n";
  for (int i = 0; i < 14; ++i) {
    requests += "GET /quick HTTP/1.1\r\n\r\n";
  }
  requests += "GET /last HTTP/1.1\r\n\r\n";
  asio::write(socket, asio::buffer(requests));
  ReadUntil(socket, "/last");
  cr_assert_eq(server.m_servedBeforeSlow, 16);
}

Test(HttpServer, ADisconnectingCallerCancelsItsRequests)
{
  SlowServer server;
  for (int i = 1; i <= 20; ++i) {
    asio::io_context context;
    {
      tcp::socket socket = server.Connect(context);
      asio::write(socket,
                  asio::buffer(std::string("GET /quick HTTP/1.1\r\n\r\n"
                                           "GET /slow HTTP/1.1\r\n\r\n")));
      ReadUntil(socket, "/quick");
    }
    cr_assert(Reaches(server.m_cancelled, i));
  }
  cr_assert(Reaches(server.m_ended, server.m_begun));
}

Test(HttpServer, RequestsAfterAClosingAnswerAreNotServed)
{
  SlowServer server;
  asio::io_context context;
  tcp::socket socket = server.Connect(context);
  asio::write(socket, asio::buffer(std::string("GET /slow HTTP/1.1\r\n\r\n")));
  cr_assert(Reaches(server.m_served, 1));
  server.Leave();
  const std::string answer = ReadUntil(socket, "/slow");
  cr_assert(answer.find("Connection: close") != std::string::npos);
  boost::system::error_code error;
  asio::write(socket,
              asio::buffer(std::string("POST /quick HTTP/1.1\r\n"
                                       "Content-Length: 0\r\n\r\n")),
              error);
  std::string rest;
  asio::read(socket, asio::dynamic_buffer(rest), error);
  cr_assert_eq(server.m_served, 1);
  cr_assert(rest.empty());
}

namespace {

/// A server with low limits, and its counters.
class LimitedServer
{
public:
  explicit LimitedServer(HttpServerSettings aSettings = {})
  {
    aSettings.m_address = NetworkAddress(0x7F000001, 0);
    aSettings.m_counters = m_counters;
    m_server = HttpServer::Create(m_context, aSettings, Echo).value();
    m_thread = std::thread([this] { m_context.run(); });
  }
  ~LimitedServer()
  {
    m_context.stop();
    m_thread.join();
  }

  tcp::socket Connect(const std::string& aBytes)
  {
    tcp::socket socket(m_client);
    socket.connect(
      { asio::ip::address_v4::loopback(), m_server->Address().Port() });
    asio::write(socket, asio::buffer(aBytes));
    return socket;
  }
  const CallerLimitCounters& Counters() const { return *m_counters; }

private:
  const std::shared_ptr<CallerLimitCounters> m_counters =
    std::make_shared<CallerLimitCounters>();
  asio::io_context m_client;
  asio::io_context m_context{ 1 };
  std::shared_ptr<HttpServer> m_server;
  std::thread m_thread;
};

HttpServerSettings
WithMemory(std::size_t aBytes)
{
  HttpServerSettings settings;
  settings.m_budget.m_memory = ByteCount(aBytes);
  return settings;
}

std::string
ReadToEnd(tcp::socket& aSocket)
{
  std::string text;
  boost::system::error_code error;
  asio::read(aSocket, asio::dynamic_buffer(text), error);
  return text;
}

} // namespace

/// Guards against bodies that exceed the memory one after the other.
Test(HttpServer, RefusesABodyThatDoesNotFitBeforeItIsRead)
{
  LimitedServer server(WithMemory(100'000));
  tcp::socket socket =
    server.Connect("POST / HTTP/1.1\r\ncontent-length: 90000\r\n\r\n");
  const std::string answer = ReadToEnd(socket);
  cr_assert(answer.starts_with("HTTP/1.1 503"), "%s", answer.c_str());
  cr_assert(answer.find("retry-after: 1") != std::string::npos);
  cr_assert_eq(server.Counters().m_refusedForMemory, 1);
}

/// Guards against a body without a length that grows beyond the memory.
Test(HttpServer, RefusesAChunkedBodyThatOutgrowsTheMemory)
{
  LimitedServer server(WithMemory(100'000));
  tcp::socket socket = server.Connect(
    "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n20000\r\n" +
    std::string(0x20000, 'b'));
  const std::string answer = ReadToEnd(socket);
  cr_assert(answer.starts_with("HTTP/1.1 503"), "%s", answer.c_str());
  cr_assert_eq(server.Counters().m_closedForMemory, 1);
}

/// Guards against refusing an ordinary caller while others hold the memory
/// with bodies that have stopped.
Test(HttpServer, AStoppedBodyMakesRoomForAnOrdinaryRequest)
{
  LimitedServer server(WithMemory(150'000));
  tcp::socket stopped =
    server.Connect("POST / HTTP/1.1\r\ncontent-length: 80000\r\n\r\n" +
                   std::string(79'999, 'b'));
  std::this_thread::sleep_for(std::chrono::milliseconds(2'500));
  tcp::socket ordinary = server.Connect(
    "POST / HTTP/1.1\r\nconnection: close\r\ncontent-length: 50000\r\n\r\n" +
    std::string(50'000, 'b'));
  cr_assert(ReadToEnd(ordinary).starts_with("HTTP/1.1 200"));
  cr_assert(ReadToEnd(stopped).starts_with("HTTP/1.1 503"));
}

/// Guards against a head of many small fields, which take much memory.
Test(HttpServer, RefusesTooManyHeaderFields)
{
  HttpServerSettings settings;
  settings.m_maxHeaderFields = 2;
  LimitedServer server(settings);
  tcp::socket socket =
    server.Connect("GET / HTTP/1.1\r\na:\r\nb:\r\nc:\r\n\r\n");
  cr_assert(ReadToEnd(socket).starts_with("HTTP/1.1 431"));
  cr_assert_eq(server.Counters().m_oversized, 1);
}

/// Guards against a request that never ends, and against one that ends a
/// connection without an answer although it has not run.
Test(HttpServer, AnswersARequestThatStopped)
{
  HttpServerSettings settings;
  settings.m_idleLimit = std::chrono::milliseconds(200);
  LimitedServer server(settings);
  tcp::socket socket =
    server.Connect("POST / HTTP/1.1\r\ncontent-length: 5\r\n\r\nb");
  cr_assert(ReadToEnd(socket).starts_with("HTTP/1.1 408"));
  cr_assert_eq(server.Counters().m_slow, 1);
}

/// Guards against closing a slow upload that makes progress: the whole takes
/// longer than both limits.
Test(HttpServer, ASlowBodyThatProgressesIsServed)
{
  constexpr int kPieces = 10;
  HttpServerSettings settings;
  settings.m_idleLimit = std::chrono::milliseconds(1'500);
  settings.m_requestLimit = std::chrono::milliseconds(1'500);
  LimitedServer server(settings);
  tcp::socket socket = server.Connect(
    "POST / HTTP/1.1\r\nconnection: close\r\ncontent-length: 20000\r\n\r\n");
  for (int i = 0; i < kPieces; ++i) {
    asio::write(socket, asio::buffer(std::string(2'000, 'b')));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
  cr_assert(ReadToEnd(socket).starts_with("HTTP/1.1 200"));
}

/// Guards against connections that keep new callers out.
Test(HttpServer, AStoppedConnectionMakesRoomForANewOne)
{
  HttpServerSettings settings;
  settings.m_budget.m_maxSessions = 2;
  LimitedServer server(settings);
  const std::string request = "GET / HTTP/1.1\r\nconnection: close\r\n\r\n";
  tcp::socket first = server.Connect("GET /");
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  tcp::socket second = server.Connect("GET /");
  std::this_thread::sleep_for(std::chrono::milliseconds(2'500));
  tcp::socket third = server.Connect(request);
  cr_assert(ReadToEnd(third).starts_with("HTTP/1.1 200"));
  cr_assert(ReadToEnd(first).empty());
  cr_assert_eq(server.Counters().m_surplusSessions, 1);
}

/// Guards against sums that drift, by which a server refuses all in time.
Test(HttpServer, ClosedConnectionsHoldNothing)
{
  LimitedServer server;
  for (int i = 0; i < 20; ++i) {
    tcp::socket socket = server.Connect(
      i % 2 == 0 ? "GET / HTTP/1.1\r\nconnection: close\r\n\r\n"
                 : "POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\nb");
    if (i % 2 == 0) {
      ReadToEnd(socket);
    }
  }
  for (int i = 0; i < 500 && server.Counters().m_sessions > 0; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  cr_assert_eq(server.Counters().m_sessions, 0);
  cr_assert_eq(server.Counters().m_heldBytes, 0);
}

} // namespace tarragontray
