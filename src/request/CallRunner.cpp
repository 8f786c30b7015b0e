#include "request/CallRunner.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/cancellation_type.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace tarragontray {

namespace asio = boost::asio;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/// Timeout of a query about an operation, including the new connection.
constexpr Duration kAskTimeout = std::chrono::milliseconds(500);

class Runner
{
public:
  Runner(CallPlan& aPlan, Call& aCall, PeerLinks& aLinks, const Clock& aClock)
    : m_plan(aPlan)
    , m_call(aCall)
    , m_links(aLinks)
    , m_clock(aClock)
  {
  }

  asio::awaitable<Answer> Run()
  {
    co_await asio::this_coro::throw_if_cancelled(false);
    Step step = m_plan.Begin(m_clock.Now());
    while (true) {
      const auto state = co_await asio::this_coro::cancellation_state;
      if (state.cancelled() != asio::cancellation_type::none) {
        co_return m_plan.Abandon(m_clock.Now());
      }
      if (const auto* send = std::get_if<SendAttempt>(&step)) {
        step = co_await Perform(*send);
      } else if (const auto* ask = std::get_if<AskOperation>(&step)) {
        step = co_await Perform(*ask);
      } else if (const auto* wait = std::get_if<WaitUntil>(&step)) {
        step = co_await Perform(*wait);
      } else {
        co_return std::move(std::get<Finish>(step).m_answer);
      }
    }
  }

private:
  asio::awaitable<Step> Perform(SendAttempt aSend)
  {
    m_call.m_version = aSend.m_version;
    m_call.m_attempt = aSend.m_attempt;
    m_call.m_timeRemaining = aSend.m_timeRemaining;
    m_call.m_objectiveRemaining = aSend.m_objectiveRemaining;
    const auto link = m_links.Get(aSend.m_target->m_peerAddress);
    const Exchange<Answer> exchange =
      co_await link->Run(m_call, aSend.m_timeRemaining, aSend.m_withdrawAfter);
    const MonotonicTime now = m_clock.Now();
    if (const auto* answer = std::get_if<Answer>(&exchange)) {
      co_return m_plan.OnAnswer(*answer, now);
    }
    if (const auto* failure = std::get_if<LinkFailure>(&exchange)) {
      co_return m_plan.OnLost(failure->m_stage, now);
    }
    co_return m_plan.OnTimer(now);
  }

  asio::awaitable<Step> Perform(AskOperation aAsk)
  {
    OperationQuery query;
    query.m_caller = m_call.m_caller;
    query.m_operation = m_call.m_operation;
    query.m_attempt = aAsk.m_attempt;
    query.m_sentTo = aAsk.m_target->m_incarnation;
    const Duration left = m_plan.Deadline() - m_clock.Now();
    const auto link = m_links.GetFresh(aAsk.m_target->m_peerAddress);
    const Exchange<OperationReply> exchange =
      co_await link->Ask(std::move(query), std::min(left, kAskTimeout));
    const MonotonicTime now = m_clock.Now();
    if (const auto* reply = std::get_if<OperationReply>(&exchange)) {
      co_return m_plan.OnOperationStatus(reply->m_status, reply->m_answer, now);
    }
    co_return now >= m_plan.Deadline() ? m_plan.OnTimer(now)
                                       : m_plan.OnAskFailed(now);
  }

  asio::awaitable<Step> Perform(WaitUntil aWait)
  {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(std::max(aWait.m_time - m_clock.Now(), Duration(0)));
    co_await timer.async_wait(kAwait);
    co_return m_plan.OnTimer(m_clock.Now());
  }

  CallPlan& m_plan;
  Call& m_call;
  PeerLinks& m_links;
  const Clock& m_clock;
};

} // namespace

asio::awaitable<Answer>
RunCall(CallPlan& aPlan, Call aCall, PeerLinks& aLinks, const Clock& aClock)
{
  Runner runner(aPlan, aCall, aLinks, aClock);
  co_return co_await runner.Run();
}

} // namespace tarragontray
