#include "connection/PeerLink.h"

#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <criterion/criterion.h>

#include "connection/Sockets.h"

namespace tarragontray {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// A peer that accepts links and calls aReact with each message.
class FakePeer
{
public:
  using React = std::function<void(FrameStream&, const PeerMessage&)>;

  FakePeer(asio::io_context& aContext, React aReact)
    : m_acceptor(aContext)
    , m_react(std::move(aReact))
  {
    const auto listening =
      Listen(m_acceptor, { .m_address = { 0x7F000001, 0 }, .m_step = "test" });
    cr_assert(listening.has_value());
    asio::co_spawn(aContext, Serve(), asio::detached);
  }

  NetworkAddress Address() const
  {
    return AddressOf(m_acceptor.local_endpoint());
  }
  int Calls() const { return m_calls; }
  int Connections() const { return m_connections; }
  int OpenConnections() const { return m_openConnections; }

private:
  asio::awaitable<void> Serve()
  {
    while (true) {
      tcp::socket socket = co_await Accept(m_acceptor);
      ++m_connections;
      ++m_openConnections;
      auto stream = FrameStream::Create(std::move(socket), "caller");
      asio::co_spawn(
        m_acceptor.get_executor(), Receive(std::move(stream)), asio::detached);
    }
  }

  asio::awaitable<void> Receive(std::shared_ptr<FrameStream> aStream)
  {
    while (true) {
      const auto message = co_await aStream->Receive();
      if (!message) {
        --m_openConnections;
        co_return;
      }
      m_calls += std::holds_alternative<Call>(message.value()) ? 1 : 0;
      m_react(*aStream, message.value());
    }
  }

  tcp::acceptor m_acceptor;
  React m_react;
  int m_calls = 0;
  int m_connections = 0;
  int m_openConnections = 0;
};

/// Runs one call until it ends.
Exchange<Answer>
RunOne(asio::io_context& aContext, PeerLinks& aLinks, const FakePeer& aPeer)
{
  std::optional<Exchange<Answer>> result;
  const auto link = aLinks.Get(aPeer.Address());
  asio::co_spawn(
    aContext,
    [&]() -> asio::awaitable<void> {
      Call call;
      result = co_await link->Run(std::move(call), std::chrono::seconds(5));
      aContext.stop();
    },
    asio::detached);
  aContext.restart();
  aContext.run();
  return std::move(*result);
}

asio::awaitable<void>
RunAndCount(std::shared_ptr<PeerLink> aLink, int& aEnded)
{
  Call call;
  co_await aLink->Run(std::move(call), std::chrono::seconds(5));
  ++aEnded;
}

asio::awaitable<void>
RunInto(std::shared_ptr<PeerLink> aLink,
        std::optional<Exchange<Answer>>& aResult,
        Call aCall = {})
{
  aResult = co_await aLink->Run(std::move(aCall), std::chrono::seconds(5));
}

asio::awaitable<void>
RunWithWithdrawal(std::shared_ptr<PeerLink> aLink,
                  std::optional<Exchange<Answer>>& aResult)
{
  co_await asio::this_coro::throw_if_cancelled(false);
  Call call;
  aResult = co_await aLink->Run(std::move(call),
                                std::chrono::milliseconds(200),
                                std::chrono::milliseconds(40));
}

void
SendDone(FrameStream& aStream, CallId aCall)
{
  Answer answer;
  answer.m_id = aCall;
  answer.m_outcome = CallOutcome::Done;
  aStream.Send(answer);
}

void
AnswerCall(FrameStream& aStream, const PeerMessage& aMessage)
{
  if (const Call* call = std::get_if<Call>(&aMessage)) {
    SendDone(aStream, call->m_id);
  }
}

} // namespace

/// Guards against a use of the socket after the connecting coroutine has ended:
/// when a process was suspended while connecting, both the completion of the
/// connection and the handler of its timeout are ready when it resumes.
Test(PeerLink, AConnectionEstablishedAtItsTimeoutIsSafe)
{
  // Number of handlers that run before the pause; at one of them the connection
  // is being established.
  for (int steps = 1; steps <= 12; ++steps) {
    asio::io_context context(1);
    const SystemClock clock;
    const FakePeer peer(context, AnswerCall);
    LinkSettings settings;
    settings.m_connectTimeout = std::chrono::milliseconds(20);
    const auto link =
      PeerLink::Create(context, clock, peer.Address(), settings);
    int ended = 0;
    asio::co_spawn(context, RunAndCount(link, ended), asio::detached);
    for (int i = 0; i < steps; ++i) {
      context.poll_one();
    }
    std::this_thread::sleep_for(settings.m_connectTimeout * 2);
    context.run_for(std::chrono::milliseconds(200));
    cr_assert_eq(ended, 1);
    link->Close();
    context.poll();
  }
}

Test(PeerLink, ACallToAnUnresponsivePeerFailsAfterTheReceiveTimeout)
{
  asio::io_context context(1);
  const SystemClock clock;
  // Reads everything and sends nothing, not even pongs.
  const FakePeer peer(context, [](FrameStream&, const PeerMessage&) {});
  PeerLinks links(context, clock, LinkSettings{});
  const MonotonicTime start = clock.Now();
  const auto result = RunOne(context, links, peer);
  const auto* failure = std::get_if<LinkFailure>(&result);
  cr_assert(failure != nullptr, "the call did not fail");
  cr_assert(failure->m_stage == LostStage::Sent);
  cr_assert(clock.Now() - start < std::chrono::seconds(4));
  cr_assert(links.Get(peer.Address())->IsClosed() == false,
            "the next call must get a new connection");
}

Test(PeerLink, ACallMayTakeLongerThanTheReceiveTimeoutWhileItsPeerAnswersPings)
{
  asio::io_context context(1);
  const SystemClock clock;
  const LinkSettings settings;
  const auto pings = 3 * settings.m_receiveTimeout / settings.m_pingAfter;
  CallId waiting;
  std::int64_t answered = 0;
  const FakePeer peer(
    context, [&](FrameStream& aStream, const PeerMessage& aMessage) {
      if (const Call* call = std::get_if<Call>(&aMessage)) {
        waiting = call->m_id;
      } else if (const LinkPing* ping = std::get_if<LinkPing>(&aMessage)) {
        aStream.Send(LinkPong{ ping->m_number });
        if (++answered == pings) {
          SendDone(aStream, waiting);
        }
      }
    });
  PeerLinks links(context, clock, settings);
  const auto result = RunOne(context, links, peer);
  cr_assert(std::holds_alternative<Answer>(result));
  cr_assert_eq(peer.Connections(), 1);
}

/// A link that is cut while it is congested: a call behind others that had not
/// been written was reported as one that may have run.
Test(PeerLink, ACallThatIsStillQueuedWhenTheLinkClosesWasNotSent)
{
  asio::io_context context(1);
  const SystemClock clock;
  // Connections are established, but nothing reads from them.
  tcp::acceptor silent(
    context, { asio::ip::address_v4::loopback(), std::uint16_t{ 0 } });
  LinkSettings settings;
  settings.m_minBytesPerSecond = 1U << 30U;
  PeerLinks links(context, clock, settings);
  const auto link = links.Get(AddressOf(silent.local_endpoint()));
  // More than the buffers of the two sockets hold.
  constexpr std::size_t kCalls = 12;
  std::vector<std::optional<Exchange<Answer>>> results(kCalls);
  for (auto& result : results) {
    Call call;
    // A large body would be sent on request only.
    call.m_http.m_target.assign(kMaxFrameBytes / 2, 'x');
    asio::co_spawn(
      context, RunInto(link, result, std::move(call)), asio::detached);
  }
  context.run_for(std::chrono::seconds(2));
  const auto stageOf = [](const std::optional<Exchange<Answer>>& aResult) {
    cr_assert(aResult.has_value());
    return std::get<LinkFailure>(*aResult).m_stage;
  };
  cr_assert(stageOf(results.front()) == LostStage::Sent);
  cr_assert(stageOf(results.back()) == LostStage::NotSent);
}

/// After a pause of this process, all its links seem silent at once.
Test(PeerLink, OwnPauseClosesTheLinkToAHealthyPeer)
{
  asio::io_context context(1);
  const SystemClock clock;
  const LinkSettings settings;
  CallId waiting;
  const FakePeer peer(
    context, [&](FrameStream& aStream, const PeerMessage& aMessage) {
      if (const Call* call = std::get_if<Call>(&aMessage)) {
        waiting = call->m_id;
        std::this_thread::sleep_for(2 * settings.m_receiveTimeout);
      } else if (const LinkPing* ping = std::get_if<LinkPing>(&aMessage)) {
        aStream.Send(LinkPong{ ping->m_number });
        SendDone(aStream, waiting);
      }
    });
  PeerLinks links(context, clock, settings);
  const auto result = RunOne(context, links, peer);
  cr_assert(std::holds_alternative<Answer>(result));
  cr_assert_eq(peer.Connections(), 1);
}

Test(PeerLink, ALeavingPeerGetsNoMoreCalls)
{
  asio::io_context context(1);
  const SystemClock clock;
  const FakePeer peer(context,
                      [](FrameStream& aStream, const PeerMessage& aMessage) {
                        aStream.Send(LinkLeaving{});
                        AnswerCall(aStream, aMessage);
                      });
  PeerLinks links(context, clock, LinkSettings{});
  const auto first = RunOne(context, links, peer);
  const auto* answer = std::get_if<Answer>(&first);
  cr_assert(answer != nullptr && answer->m_outcome == CallOutcome::Done,
            "a call sent before the announcement must be answered");
  const auto second = RunOne(context, links, peer);
  const auto* refusal = std::get_if<Answer>(&second);
  cr_assert(refusal != nullptr);
  cr_assert(refusal->m_outcome == CallOutcome::NotRun);
  cr_assert(refusal->m_refusal == RefusalReason::Draining);
  cr_assert_eq(peer.Calls(), 1);
}

Test(PeerLink, AnAnswerWithAnUnknownCallIdIsDropped)
{
  asio::io_context context(1);
  const SystemClock clock;
  const FakePeer peer(context,
                      [](FrameStream& aStream, const PeerMessage& aMessage) {
                        const Call* call = std::get_if<Call>(&aMessage);
                        if (call == nullptr) {
                          return;
                        }
                        Answer other;
                        other.m_id = CallId(call->m_id.Value() + 7);
                        other.m_http.m_body = "another caller's";
                        aStream.Send(other);
                        Answer own;
                        own.m_id = call->m_id;
                        own.m_http.m_body = "own";
                        aStream.Send(own);
                        aStream.Send(own);
                      });
  PeerLinks links(context, clock, LinkSettings{});
  for (int i = 0; i < 3; ++i) {
    const auto result = RunOne(context, links, peer);
    const auto* answer = std::get_if<Answer>(&result);
    cr_assert(answer != nullptr);
    cr_assert(answer->m_http.m_body == "own");
  }
  cr_assert_eq(peer.Connections(), 1);
}

/// Each of these connections was open for good, on both sides, until a process
/// had no descriptor left.
Test(PeerLink, LinksThatWereReplacedForAQueryStayOpen)
{
  asio::io_context context(1);
  const SystemClock clock;
  const FakePeer peer(context, AnswerCall);
  PeerLinks links(context, clock, LinkSettings{});
  for (int i = 0; i < 20; ++i) {
    links.GetFresh(peer.Address());
    RunOne(context, links, peer);
  }
  context.restart();
  context.run_for(std::chrono::milliseconds(50));
  cr_assert_eq(peer.Connections(), 20);
  cr_assert_eq(peer.OpenConnections(), 1);
}

/// A peer whose answer is overdue is asked for its word before the deadline,
/// and its answer still counts. A caller that has left withdraws nothing, but
/// cancels.
Test(PeerLink, OverdueCallsAreWithdrawnAndStillAnswered)
{
  asio::io_context context(1);
  const SystemClock clock;
  std::vector<bool> cancels;
  const FakePeer peer(
    context, [&](FrameStream& aStream, const PeerMessage& aMessage) {
      if (const auto* cancel = std::get_if<CancelCall>(&aMessage)) {
        cancels.push_back(cancel->m_onlyIfWaiting);
        SendDone(aStream, cancel->m_id);
      }
    });
  PeerLinks links(context, clock, LinkSettings{});
  const auto run = [&](asio::cancellation_signal& aSignal,
                       std::optional<Exchange<Answer>>& aResult) {
    asio::co_spawn(
      context,
      RunWithWithdrawal(links.Get(peer.Address()), aResult),
      asio::bind_cancellation_slot(aSignal.slot(), asio::detached));
    context.restart();
    context.run_for(std::chrono::milliseconds(20));
  };
  asio::cancellation_signal overdueSignal;
  std::optional<Exchange<Answer>> overdue;
  run(overdueSignal, overdue);
  context.restart();
  context.run_for(std::chrono::milliseconds(100));
  cr_assert(overdue && std::holds_alternative<Answer>(*overdue));
  cr_assert(cancels == std::vector<bool>{ true });
  asio::cancellation_signal leftSignal;
  std::optional<Exchange<Answer>> left;
  run(leftSignal, left);
  leftSignal.emit(asio::cancellation_type::terminal);
  context.restart();
  context.run_for(std::chrono::milliseconds(100));
  cr_assert(left && std::holds_alternative<ExchangeTimeout>(*left));
  cr_assert(cancels == (std::vector<bool>{ true, false }));
}

Test(PeerLink, AReplacedLinkLosesItsPendingCall)
{
  asio::io_context context(1);
  const SystemClock clock;
  std::vector<std::pair<FrameStream*, CallId>> waiting;
  const FakePeer peer(
    context, [&](FrameStream& aStream, const PeerMessage& aMessage) {
      if (const Call* call = std::get_if<Call>(&aMessage)) {
        waiting.emplace_back(&aStream, call->m_id);
      } else if (const LinkPing* ping = std::get_if<LinkPing>(&aMessage)) {
        aStream.Send(LinkPong{ ping->m_number });
      }
    });
  PeerLinks links(context, clock, LinkSettings{});
  const auto link = links.Get(peer.Address());
  std::optional<Exchange<Answer>> result;
  asio::co_spawn(context, RunInto(link, result), asio::detached);
  context.poll();
  links.GetFresh(peer.Address());
  context.restart();
  context.run_for(std::chrono::milliseconds(50));
  cr_assert(!result && !link->IsClosed());
  cr_assert_eq(waiting.size(), 1);
  SendDone(*waiting.front().first, waiting.front().second);
  context.restart();
  context.run_for(std::chrono::milliseconds(50));
  cr_assert(result && std::holds_alternative<Answer>(*result));
  cr_assert(link->IsClosed());
}

/// The peer must receive the bytes that the caller sent, in order, and only
/// those that it requested.
Test(PeerLink, ALargeBodyIsSentUnrequestedOrChanged)
{
  asio::io_context context;
  SystemClock clock;
  std::string body;
  for (int i = 0; body.size() < 100'000; ++i) {
    body += std::to_string(i);
  }
  std::string received;
  const auto request = [&](FrameStream& aStream, CallId aCall) {
    aStream.Send(
      BodyRequest{ aCall, ByteCount(received.size()), ByteCount(30'000) });
  };
  FakePeer peer(context, [&](FrameStream& aStream, const auto& aMessage) {
    if (const Call* call = std::get_if<Call>(&aMessage)) {
      cr_assert(call->m_http.m_body.empty());
      cr_assert(call->m_deferredBody->m_size == ByteCount(body.size()));
      request(aStream, call->m_id);
    } else if (const BodyData* data = std::get_if<BodyData>(&aMessage)) {
      cr_assert_leq(data->m_bytes.size(), 30'000);
      received += data->m_bytes;
      if (received.size() < body.size()) {
        request(aStream, data->m_id);
      } else {
        SendDone(aStream, data->m_id);
      }
    }
  });
  PeerLinks links(context, clock, {});
  std::optional<Exchange<Answer>> result;
  Call call;
  call.m_http.m_body = body;
  asio::co_spawn(context,
                 RunInto(links.Get(peer.Address()), result, call),
                 [&](const std::exception_ptr&) { context.stop(); });
  context.run();
  cr_assert(std::holds_alternative<Answer>(*result));
  cr_assert(received == body);
}

} // namespace tarragontray
