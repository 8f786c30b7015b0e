// Tests that the guard thread asks a cold upstream until it is warm, over
// loopback.
#include "process/GuardThread.h"

#include <atomic>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

#include "connection/HttpServer.h"
#include "request/NativeDialect.h"

namespace tarragontray {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Reads how long the upstream stays cold from a header.
class ColdDialect final : public UpstreamDialect
{
public:
  HttpRequestParts Write(const Call& aCall,
                         const UpstreamEndpoint& aEndpoint) const override
  {
    return m_native.Write(aCall, aEndpoint);
  }
  void AddOrigin(const VmId& aVm,
                 const UpstreamVersion& aVersion,
                 HttpAnswerParts& aAnswer) const override
  {
    m_native.AddOrigin(aVm, aVersion, aAnswer);
  }
  UpstreamVerdict Judge(const Call& aCall,
                        const HttpAnswerParts& aAnswer) const override
  {
    return m_native.Judge(aCall, aAnswer);
  }
  UpstreamNotice ReadNotice(const HttpAnswerParts& aAnswer) const override
  {
    UpstreamNotice notice;
    notice.m_coldRemaining = FindMilliseconds(aAnswer.m_headers, "x-cold-ms");
    return notice;
  }

private:
  NativeUpstreamDialect m_native;
};

/// An upstream that is cold for 300 ms after its first health request; the
/// second one gets no usable answer.
class Upstream
{
public:
  Upstream()
  {
    HttpServerSettings settings;
    settings.m_address = NetworkAddress(0x7F000001, 0);
    m_server = HttpServer::Create(m_context,
                                  settings,
                                  [this](HttpRequestParts aRequest)
                                    -> boost::asio::awaitable<HttpAnswerParts> {
                                    co_return Answer(aRequest);
                                  })
                 .value();
    m_thread = std::thread([this] { m_context.run(); });
  }
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;
  ~Upstream()
  {
    m_context.stop();
    m_thread.join();
  }

  NetworkAddress Address() const { return m_server->Address(); }

  std::atomic<int> m_asked = 0;
  std::atomic<int> m_others = 0;

private:
  HttpAnswerParts Answer(const HttpRequestParts& aRequest)
  {
    if (aRequest.m_method != "GET" || aRequest.m_target != "/health?deep=1") {
      ++m_others;
    }
    const int asked = ++m_asked;
    HttpAnswerParts answer = TextAnswer(asked == 2 ? 503 : 200, "");
    answer.m_headers.push_back({ "x-cold-ms", asked == 1 ? "300" : "0" });
    return answer;
  }

  boost::asio::io_context m_context{ 1 };
  std::shared_ptr<HttpServer> m_server;
  std::thread m_thread;
};

} // namespace

/// Nobody tells the guard that its upstream is warm, or an answer that tells
/// nothing does.
Test(GuardThread, ColdUpstreamIsNotAskedUntilItIsWarm)
{
  Upstream upstream;
  SystemClock clock;
  IdleSignal inFlight;
  GuardThreadSettings settings;
  settings.m_address = NetworkAddress(0x7F000001, 0);
  settings.m_dialect = std::make_shared<ColdDialect>();
  settings.m_cold = ColdAllowance{ 1.5, 8 };
  GuardEvents events;
  events.m_onUsage = [](const UsageBatch&) {};
  const auto guard =
    GuardThread::Create(settings, clock, inFlight, std::move(events)).value();
  const MonotonicTime start = clock.Now();
  guard->SetColdBounds({ CallRate(14), "/health?deep=1" });
  guard->SetUpstream({ { ClientAccountId("a"), ServiceName("s") },
                       UpstreamVersion("v1"),
                       UpstreamState::Live,
                       SlotCount(6) },
                     { upstream.Address(), UpstreamInstanceId("i") });
  const auto isWarm = [&] {
    const GuardStats stats = guard->Stats();
    return stats.m_healthRequests >= CallCount(3) && !stats.m_isLimitedAsCold;
  };
  while (!isWarm() && clock.Now() < start + seconds(20)) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  cr_assert(isWarm());
  // The stated time, and the wait after the answer that told nothing.
  cr_assert(clock.Now() >= start + milliseconds(800));
  std::this_thread::sleep_for(milliseconds(700));
  cr_assert_eq(upstream.m_asked, 3);
  cr_assert_eq(upstream.m_others, 0);
  guard->Stop();
}

} // namespace tarragontray
