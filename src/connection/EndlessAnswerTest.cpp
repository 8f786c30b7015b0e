/// \file
/// UpstreamPool with upstreams that send an endless response: the call must
/// fail in time, after a bounded number of bytes, with its connection closed.

#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <unistd.h>

#include "connection/UpstreamPool.h"

namespace tarragontray {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr Duration kTimeRemaining = 5s;
/// Most bytes that an upstream can send: the maximum size of an answer, and the
/// socket buffers of both sides.
constexpr std::size_t kMaxSentBytes = kMaxCallBytes.Value() + (12U << 20U);

/// The response of an upstream: m_prefix once, then m_repeated until the
/// connection is closed.
struct EndlessAnswer
{
  const char* m_name = "";
  std::string m_prefix;
  std::string m_repeated;
  bool m_readsRequest = true;
};

class EndlessUpstream
{
public:
  explicit EndlessUpstream(EndlessAnswer aAnswer)
    : m_answer(std::move(aAnswer))
    , m_acceptor(m_context)
    , m_pool(UpstreamPool::Create(m_context, m_clock))
  {
    m_acceptor.open(asio::ip::tcp::v4());
    // Small, so that a request that the upstream doesn't read can't be written
    // completely.
    m_acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
    m_acceptor.bind({ asio::ip::address_v4::loopback(), std::uint16_t{ 0 } });
    m_acceptor.listen();
    while (m_answer.m_repeated.size() < kWriteBytes) {
      m_answer.m_repeated += m_answer.m_repeated;
    }
    asio::co_spawn(
      m_context, [this] { return Serve(); }, asio::detached);
    m_pool->SetAddress(
      NetworkAddress(0x7F000001, m_acceptor.local_endpoint().port()));
  }

  /// Runs one call until it is answered and its connection is closed, or until
  /// aTimeout has passed. Returns the answer, if any.
  std::optional<Answer> Run(Duration aTimeout)
  {
    Call call;
    call.m_id = CallId(1);
    call.m_idempotent = true;
    call.m_http.m_method = "POST";
    call.m_http.m_target = "/";
    // Larger than the socket buffers.
    call.m_http.m_body = std::string(32U << 20U, 'b');
    call.m_timeRemaining = kTimeRemaining;
    std::optional<Answer> result;
    m_run =
      m_pool->Start(call, [&](Answer aAnswer) { result = std::move(aAnswer); });
    m_run.reset();
    const auto limit = std::chrono::steady_clock::now() + aTimeout;
    while ((!result || !m_isClosed) &&
           std::chrono::steady_clock::now() < limit) {
      m_context.run_one_until(limit);
    }
    return result;
  }

  bool IsClosed() const { return m_isClosed; }
  std::size_t Sent() const { return m_sent; }

private:
  static constexpr std::size_t kWriteBytes = 64U << 10U;

  asio::awaitable<void> Serve()
  {
    asio::ip::tcp::socket socket =
      co_await m_acceptor.async_accept(asio::use_awaitable);
    std::array<char, 4096> request{};
    if (m_answer.m_readsRequest) {
      co_await socket.async_read_some(asio::buffer(request), kAwait);
    }
    const auto [prefixError, prefixSize] = co_await asio::async_write(
      socket, asio::buffer(m_answer.m_prefix), kAwait);
    bool isOpen = !prefixError;
    while (isOpen) {
      const auto [error, size] = co_await asio::async_write(
        socket, asio::buffer(m_answer.m_repeated), kAwait);
      m_sent += size;
      isOpen = !error;
    }
    m_isClosed = true;
  }

  const SystemClock m_clock;
  asio::io_context m_context{ 1 };
  EndlessAnswer m_answer;
  asio::ip::tcp::acceptor m_acceptor;
  std::unique_ptr<UpstreamPool> m_pool;
  std::shared_ptr<UpstreamRun> m_run;
  std::size_t m_sent = 0;
  bool m_isClosed = false;
};

const std::array kAnswers{
  EndlessAnswer{ "a status line", "HTTP/1.1 200 ", "OK" },
  EndlessAnswer{ "bytes that are not HTTP", "", "zq" },
  EndlessAnswer{ "one header", "HTTP/1.1 200 OK\r\nx-a: ", "a" },
  EndlessAnswer{ "headers", "HTTP/1.1 200 OK\r\n", "x-a: b\r\n" },
  EndlessAnswer{ "a body without length", "HTTP/1.1 200 OK\r\n\r\n", "a" },
  EndlessAnswer{ "a body over the maximum length",
                 "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
                 "a" },
  EndlessAnswer{ "chunks",
                 "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
                 "4\r\naaaa\r\n" },
  EndlessAnswer{ "a chunk's extension",
                 "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;",
                 "a" },
  EndlessAnswer{ "trailers",
                 "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
                 "x-a: b\r\n" },
  EndlessAnswer{ "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
};

/// Checks that the call fails in time, that the connection is closed and that
/// the pool reads a bounded number of bytes.
void
AssertCallFails(EndlessAnswer aAnswer)
{
  const char* const name = aAnswer.m_name;
  EndlessUpstream upstream(std::move(aAnswer));
  const auto start = std::chrono::steady_clock::now();
  const auto answer = upstream.Run(kTimeRemaining / 2);
  const Duration took = std::chrono::steady_clock::now() - start;
  cr_expect(answer.has_value(), "%s: the call did not end", name);
  cr_expect(!answer || answer->m_outcome != CallOutcome::Done,
            "%s: accepted as a complete answer",
            name);
  cr_expect(upstream.IsClosed(), "%s: the connection was not closed", name);
  cr_expect(took < kTimeRemaining / 2, "%s: took too long", name);
  cr_expect(upstream.Sent() < kMaxSentBytes,
            "%s: %zu bytes were accepted",
            name,
            upstream.Sent());
}

/// The memory of this process in use.
ByteCount
ResidentBytes()
{
  std::ifstream statm("/proc/self/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  statm >> total >> resident;
  return ByteCount(resident *
                   static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)));
}

/// Keeps as many calls running as an upstream has slots, all answered without
/// end.
class EndlessUpstreams
{
public:
  explicit EndlessUpstreams(EndlessAnswer aAnswer)
    : m_answer(std::move(aAnswer))
    , m_acceptor(m_context, { asio::ip::address_v4::loopback(), 0 })
    , m_pool(UpstreamPool::Create(m_context, m_clock))
  {
    while (m_answer.m_repeated.size() < kWriteBytes) {
      m_answer.m_repeated += m_answer.m_repeated;
    }
    m_pool->SetAddress(
      NetworkAddress(0x7F000001, m_acceptor.local_endpoint().port()));
    asio::co_spawn(
      m_context, [this] { return Accept(); }, asio::detached);
  }

  /// \return the most memory that was in use beyond that at the start.
  ByteCount Run(std::size_t aSlots, Duration aTime)
  {
    const ByteCount before = ResidentBytes();
    ByteCount most = before;
    for (std::size_t slot = 0; slot < aSlots; ++slot) {
      StartCall();
    }
    const auto end = std::chrono::steady_clock::now() + aTime;
    while (std::chrono::steady_clock::now() < end) {
      m_context.run_one_for(1ms);
      most = std::max(most, ResidentBytes());
    }
    return most - before;
  }

  std::size_t Ended() const { return m_ended; }

private:
  static constexpr std::size_t kWriteBytes = 64U << 10U;

  void StartCall()
  {
    Call call;
    call.m_id = CallId(++m_started);
    call.m_idempotent = true;
    call.m_http.m_method = "GET";
    call.m_http.m_target = "/";
    call.m_timeRemaining = kTimeRemaining;
    m_runs.push_back(m_pool->Start(call, [this](const Answer& aAnswer) {
      cr_expect(aAnswer.m_outcome != CallOutcome::Done);
      ++m_ended;
      StartCall();
    }));
    std::erase_if(m_runs,
                  [](const auto& aRun) { return aRun.use_count() == 1; });
  }

  asio::awaitable<void> Accept()
  {
    while (true) {
      asio::ip::tcp::socket socket =
        co_await m_acceptor.async_accept(asio::use_awaitable);
      asio::co_spawn(
        m_context,
        [this, client = std::move(socket)]() mutable {
          return Serve(std::move(client));
        },
        asio::detached);
    }
  }

  asio::awaitable<void> Serve(asio::ip::tcp::socket aSocket)
  {
    auto [error, size] = co_await asio::async_write(
      aSocket, asio::buffer(m_answer.m_prefix), kAwait);
    while (!error) {
      std::tie(error, size) = co_await asio::async_write(
        aSocket, asio::buffer(m_answer.m_repeated), kAwait);
    }
  }

  const SystemClock m_clock;
  asio::io_context m_context{ 1 };
  EndlessAnswer m_answer;
  asio::ip::tcp::acceptor m_acceptor;
  std::unique_ptr<UpstreamPool> m_pool;
  std::vector<std::shared_ptr<UpstreamRun>> m_runs;
  std::uint64_t m_started = 0;
  std::size_t m_ended = 0;
};

} // namespace

Test(EndlessAnswer, FailsAtItsBoundAndItsConnectionIsClosed)
{
  for (const EndlessAnswer& answer : kAnswers) {
    AssertCallFails(answer);
  }
}

Test(EndlessAnswer, FromAnUpstreamThatReadsNothingFailsAtItsBound)
{
  for (EndlessAnswer answer : kAnswers) {
    answer.m_readsRequest = false;
    AssertCallFails(std::move(answer));
  }
}

/// The calls of all clients end with a process that runs out of memory.
Test(EndlessAnswer, ManyAtOnceTakeTheMemoryOfTheSmallestVm)
{
  constexpr std::size_t kSlots = 12;
  constexpr ByteCount kMemory{ 88'000'000 };
  for (const EndlessAnswer& answer : kAnswers) {
    EndlessUpstreams upstreams(answer);
    const ByteCount used = upstreams.Run(kSlots, 300ms);
    cr_expect(upstreams.Ended() > 0, "%s: no call ended", answer.m_name);
    cr_expect(used < kMemory,
              "%s: %lu bytes in use",
              answer.m_name,
              static_cast<unsigned long>(used.Value()));
  }
}

} // namespace tarragontray
