// Sends changed copies of a corpus of HTTP messages to the reader of requests
// (HttpServer) and to the reader of answers (UpstreamPool). Guards against
// crashes, sessions that are never freed and calls that never end.
//
// The environment variable TT_FUZZ_INPUTS sets the number of inputs for each
// reader, TT_FUZZ_SEED the seed.
#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include "base/Random.h"
#include "connection/HttpServer.h"
#include "connection/UpstreamPool.h"

namespace tarragontray {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t kMaxChanges = 4;
constexpr std::uint64_t kMaxRange = 24;
/// An input that takes longer has not ended.
constexpr Duration kLimit = std::chrono::seconds(10);

std::uint64_t
NumberFrom(const char* aVariable, std::uint64_t aDefault)
{
  const char* text = std::getenv(aVariable);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

std::vector<std::string>
ReadCorpus(const std::string& aFolder)
{
  const char* folder = std::getenv("TT_GOLDEN_DIR");
  std::vector<std::filesystem::path> paths;
  for (const auto& entry : std::filesystem::directory_iterator(
         std::string(folder == nullptr ? "src/connection/golden" : folder) +
         "/" + aFolder)) {
    paths.push_back(entry.path());
  }
  // The order of a directory is not fixed, and a seed must repeat its inputs.
  std::sort(paths.begin(), paths.end());
  std::vector<std::string> corpus;
  for (const auto& path : paths) {
    std::ifstream file(path, std::ios::binary);
    corpus.emplace_back(std::istreambuf_iterator<char>(file),
                        std::istreambuf_iterator<char>());
  }
  cr_assert(!corpus.empty());
  return corpus;
}

/// Makes changed copies of the messages of a corpus.
class Mutator
{
public:
  Mutator(std::vector<std::string> aCorpus, std::uint64_t aSeed)
    : m_corpus(std::move(aCorpus))
    , m_random(aSeed)
  {
  }

  std::string Next()
  {
    std::string text = Pick(m_corpus);
    const std::uint64_t changes = 1 + m_random.Below(kMaxChanges);
    for (std::uint64_t i = 0; i < changes; ++i) {
      Change(text);
    }
    return text;
  }

private:
  void Change(std::string& aText)
  {
    static const std::vector<std::string> kTokens{
      "\r\n",
      "\r\n\r\n",
      "\n",
      " ",
      ":",
      ";",
      std::string(1, '\0'),
      "-1",
      "0",
      "content-length: 3\r\n",
      "transfer-encoding: chunked\r\n",
      "connection: close\r\n",
      "ffffffffffffffff",
      "18446744073709551616",
      "HTTP/1.1 ",
      "HTTP/9.9",
      "0\r\n\r\n",
      "000",
      "999",
      "\xff\xfe"
    };
    const std::size_t at = m_random.Below(aText.size() + 1);
    const std::size_t count = m_random.Below(kMaxRange);
    switch (m_random.Below(6)) {
      case 0:
        if (at < aText.size()) {
          aText[at] = static_cast<char>(m_random.Below(256));
        }
        break;
      case 1:
        aText.insert(at, Pick(kTokens));
        break;
      case 2:
        aText.erase(at, count);
        break;
      case 3:
        aText.insert(at, aText.substr(at, count));
        break;
      case 4:
        aText.resize(at);
        break;
      default: {
        const std::string& other = Pick(m_corpus);
        aText =
          aText.substr(0, at) + other.substr(m_random.Below(other.size() + 1));
      }
    }
  }

  const std::string& Pick(const std::vector<std::string>& aFrom)
  {
    return aFrom[m_random.Below(aFrom.size())];
  }

  std::vector<std::string> m_corpus;
  SeededRandom m_random;
};

/// Runs a context until aIsDone. \return false after kLimit.
template<typename IsDone>
bool
RunUntil(asio::io_context& aContext, const IsDone& aIsDone)
{
  const auto end = std::chrono::steady_clock::now() + kLimit;
  while (!aIsDone()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    aContext.run_one_until(end);
  }
  return true;
}

asio::awaitable<HttpAnswerParts>
Echo(HttpRequestParts aRequest)
{
  co_return TextAnswer(200, std::move(aRequest.m_body));
}

/// Sends a text on a new connection and reads until the server closes it.
asio::awaitable<void>
Exchange(tcp::endpoint aServer,
         const std::string& aText,
         std::optional<std::string>& aAnswer)
{
  tcp::socket socket(co_await asio::this_coro::executor);
  co_await socket.async_connect(aServer, kAwait);
  co_await asio::async_write(socket, asio::buffer(aText), kAwait);
  boost::system::error_code error;
  socket.shutdown(tcp::socket::shutdown_send, error);
  std::string answer;
  std::array<char, 4096> buffer{};
  while (!error) {
    const auto [failed, size] =
      co_await socket.async_read_some(asio::buffer(buffer), kAwait);
    answer.append(buffer.data(), size);
    error = failed;
  }
  // Resets the connection, so that many inputs don't use up the ports.
  socket.set_option(asio::socket_base::linger(true, 0), error);
  aAnswer = std::move(answer);
}

/// An upstream that answers each request with the same text and closes the
/// connection.
class FuzzedUpstream
{
public:
  explicit FuzzedUpstream(asio::io_context& aContext)
    : m_context(aContext)
    , m_acceptor(aContext, { asio::ip::address_v4::loopback(), 0 })
  {
    asio::co_spawn(
      m_context, [this] { return Accept(); }, asio::detached);
  }

  NetworkAddress Address() const
  {
    return { 0x7F000001, m_acceptor.local_endpoint().port() };
  }

  std::string m_answer;

private:
  asio::awaitable<void> Accept()
  {
    while (true) {
      tcp::socket socket =
        co_await m_acceptor.async_accept(asio::use_awaitable);
      asio::co_spawn(
        m_context,
        [this, peer = std::move(socket)]() mutable {
          return Serve(std::move(peer));
        },
        asio::detached);
    }
  }

  asio::awaitable<void> Serve(tcp::socket aSocket)
  {
    std::string request;
    co_await asio::async_read_until(
      aSocket, asio::dynamic_buffer(request), "\r\n\r\n", kAwait);
    const std::string answer = m_answer;
    co_await asio::async_write(aSocket, asio::buffer(answer), kAwait);
  }

  asio::io_context& m_context;
  tcp::acceptor m_acceptor;
};

} // namespace

Test(HttpFuzz, EveryRequestEndsAndIsFreed, .timeout = 3600)
{
  const std::uint64_t inputs = NumberFrom("TT_FUZZ_INPUTS", 20'000);
  const std::uint64_t seed = NumberFrom("TT_FUZZ_SEED", 20261206);
  Mutator mutator(ReadCorpus("http-requests"), seed);
  asio::io_context context{ 1 };
  HttpServerSettings settings;
  settings.m_address = NetworkAddress(0x7F000001, 0);
  settings.m_counters = std::make_shared<CallerLimitCounters>();
  const auto server = HttpServer::Create(context, settings, Echo).value();
  const tcp::endpoint address(asio::ip::address_v4::loopback(),
                              server->Address().Port());
  for (std::uint64_t i = 0; i < inputs; ++i) {
    const std::string text = mutator.Next();
    std::optional<std::string> answer;
    asio::co_spawn(context, Exchange(address, text, answer), asio::detached);
    cr_assert(RunUntil(context, [&] { return answer.has_value(); }),
              "seed %lu, input %lu is not answered",
              static_cast<unsigned long>(seed),
              static_cast<unsigned long>(i));
    cr_assert(answer->empty() || answer->starts_with("HTTP/1.1 "),
              "seed %lu, input %lu: %s",
              static_cast<unsigned long>(seed),
              static_cast<unsigned long>(i),
              answer->c_str());
  }
  cr_assert(
    RunUntil(context, [&] { return settings.m_counters->m_sessions == 0; }));
  cr_assert_eq(settings.m_counters->m_heldBytes, 0);
}

Test(HttpFuzz, EveryCallEndsOnce, .timeout = 3600)
{
  const std::uint64_t inputs = NumberFrom("TT_FUZZ_INPUTS", 20'000);
  const std::uint64_t seed = NumberFrom("TT_FUZZ_SEED", 20261206);
  Mutator mutator(ReadCorpus("http-answers"), seed);
  const SystemClock clock;
  asio::io_context context{ 1 };
  FuzzedUpstream upstream(context);
  const auto pool = UpstreamPool::Create(context, clock);
  pool->SetAddress(upstream.Address());
  for (std::uint64_t i = 0; i < inputs; ++i) {
    upstream.m_answer = mutator.Next();
    Call call;
    call.m_id = CallId(i + 1);
    call.m_idempotent = i % 2 == 0;
    call.m_http.m_method = "GET";
    call.m_http.m_target = "/";
    call.m_timeRemaining = kLimit / 2;
    std::size_t ends = 0;
    const auto run = pool->Start(call, [&](const Answer& aAnswer) {
      ++ends;
      cr_assert_leq(aAnswer.m_http.m_body.size(), kMaxCallBytes.Value());
    });
    cr_assert(RunUntil(context, [&] { return ends > 0; }),
              "seed %lu, input %lu does not end",
              static_cast<unsigned long>(seed),
              static_cast<unsigned long>(i));
    context.poll();
    cr_assert_eq(ends, 1);
  }
}

} // namespace tarragontray
