// Tests that an upstream which is or may be cold gets no more calls than it
// tolerates, and that one known to be warm gets neither a limit nor health
// requests.
#include "request/ColdUpstream.h"

#include <algorithm>
#include <deque>

#include <criterion/criterion.h>

#include "base/Random.h"
#include "request/Guard.h"
#include "request/ObjectiveAdmission.h"

namespace tarragontray {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService{ ClientAccountId("a"), ServiceName("orders") };
const UpstreamVersion kVersion("v1");
constexpr CallerLink kLink{ 1 };
constexpr double kColdRate = 14;
constexpr ColdAllowance kAllowance{ 1.5, 8 };
/// Calls in any second at which a cold upstream ends.
constexpr std::size_t kTolerated = 29;

UpstreamHeartbeat
Heartbeat(std::uint64_t aBirth, Duration aColdRemaining = Duration(0))
{
  return { { UpstreamInstanceId("i"), UpstreamBirth(aBirth) }, aColdRemaining };
}

/// A guard under more calls than its upstream can run. Time passes in steps of
/// 1 ms.
class Driver
{
public:
  explicit Driver(std::optional<ColdAllowance> aAllowance = kAllowance)
  {
    GuardSettings settings;
    settings.m_cold = aAllowance;
    auto policy =
      ObjectiveAdmission::Create({ kService.m_owner, 64, Share::All() });
    m_guard = std::make_unique<Guard>(
      Guard::Create(settings, std::move(policy.value())).value());
    Apply(m_guard->SetColdBounds({ CallRate(kColdRate), "/health" }, m_now));
    Announce(UpstreamState::Live);
  }
  void Announce(UpstreamState aState)
  {
    Apply(m_guard->SetUpstream({ kService, kVersion, aState, SlotCount(6) },
                               m_now));
  }
  void Hear(const UpstreamHeartbeat& aHeartbeat)
  {
    Apply(m_guard->OnHeartbeat(aHeartbeat, m_now));
  }
  void Evacuate(bool aIsEvacuated)
  {
    Apply(m_guard->SetEvacuated(aIsEvacuated, m_now));
  }
  /// Answers the health request that is open.
  void AnswerHealth(std::optional<Duration> aColdRemaining)
  {
    cr_assert(m_isAsked);
    m_isAsked = false;
    Apply(m_guard->OnHealthAnswer(aColdRemaining, m_now));
  }
  void Submit(Duration aTimeRemaining = seconds(3))
  {
    Call call;
    call.m_id = CallId(++m_lastId);
    call.m_operation = OperationId("op-" + std::to_string(m_lastId));
    call.m_caller = kService.m_owner;
    call.m_service = kService;
    call.m_version = kVersion;
    call.m_idempotent = true;
    call.m_timeRemaining = aTimeRemaining;
    Apply(m_guard->Submit(std::move(call), kLink, m_now));
  }
  /// Submits a call every 5 ms; the upstream answers after 20 ms.
  void Run(Duration aTime)
  {
    for (const MonotonicTime end = m_now + aTime; m_now < end;
         m_now += milliseconds(1)) {
      if (++m_steps % 5 == 0) {
        Submit();
      }
      while (!m_running.empty() &&
             m_running.front().second + milliseconds(20) <= m_now) {
        End(m_isDown ? NoConnection() : Done());
      }
      if (const auto next = m_guard->NextTick(); next && *next <= m_now) {
        Apply(m_guard->Tick(m_now));
      }
    }
  }
  /// Ends the call that runs for the longest time.
  void End(const Answer& aAnswer)
  {
    const Ticket ticket = m_running.front().first;
    m_running.pop_front();
    Apply(m_guard->Finished(ticket, aAnswer, m_now));
  }

  static Answer Done()
  {
    Answer answer;
    answer.m_outcome = CallOutcome::Done;
    answer.m_http.m_status = 200;
    return answer;
  }
  static Answer NoConnection()
  {
    Answer answer;
    answer.m_outcome = CallOutcome::NotRun;
    answer.m_refusal = RefusalReason::UpstreamGone;
    return answer;
  }
  /// The most calls that were started in a second after aSince.
  std::size_t MostInASecond(MonotonicTime aSince) const
  {
    std::size_t most = 0;
    for (auto first = m_starts.begin(); first != m_starts.end(); ++first) {
      if (*first < aSince) {
        continue;
      }
      const auto last =
        std::upper_bound(first, m_starts.end(), *first + seconds(1));
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
  }

  std::unique_ptr<Guard> m_guard;
  MonotonicTime m_now{ std::chrono::hours(1) };
  std::deque<std::pair<Ticket, MonotonicTime>> m_running;
  std::vector<MonotonicTime> m_starts;
  std::vector<Reply> m_refusals;
  bool m_isAsked = false;
  bool m_isDown = false;

private:
  void Apply(const GuardActions& aActions)
  {
    for (const auto& run : aActions.m_runs) {
      m_running.emplace_back(run.m_ticket, m_now);
      m_starts.push_back(m_now);
    }
    for (const Reply& reply : aActions.m_replies) {
      if (reply.m_answer.m_outcome == CallOutcome::NotRun) {
        m_refusals.push_back(reply);
      }
    }
    m_isAsked |= aActions.m_healthTarget.has_value();
  }

  std::uint64_t m_lastId = 0;
  std::uint64_t m_steps = 0;
};

/// A guard whose upstream has run warm for a while.
Driver
WarmDriver()
{
  Driver driver;
  driver.Hear(Heartbeat(1));
  driver.AnswerHealth(std::nullopt);
  for (int i = 0; i < 4; ++i) {
    driver.Run(milliseconds(1'500));
    driver.Hear(Heartbeat(1));
  }
  return driver;
}

std::uint64_t
HealthRequests(const Driver& aDriver)
{
  return aDriver.m_guard->Cold().m_healthRequests;
}

} // namespace

/// A service without cold upstreams, or a deployment without the setting, loses
/// calls to the limit.
Test(ColdUpstream, LimitAppliesWhereNoneIsAskedFor)
{
  Driver driver(std::nullopt);
  driver.Run(seconds(2));
  cr_assert_geq(driver.MostInASecond(MonotonicTime()), 150);
  cr_assert(!driver.m_isAsked);
  Driver other;
  other.m_guard->SetColdBounds({}, other.m_now);
  other.Run(seconds(2));
  cr_assert_geq(other.MostInASecond(MonotonicTime()), 150);
}

/// Each health request has a price.
Test(ColdUpstream, WarmUpstreamIsAskedOrLimited)
{
  Driver driver = WarmDriver();
  const std::uint64_t before = HealthRequests(driver);
  const MonotonicTime since = driver.m_now;
  for (int i = 0; i < 20; ++i) {
    driver.Run(milliseconds(1'500));
    driver.Hear(Heartbeat(1));
  }
  cr_assert_eq(HealthRequests(driver), before);
  cr_assert_geq(driver.MostInASecond(since), 150);
  // Single calls that time out happen to a warm upstream, too.
  driver.End(Answer{});
  cr_assert(!driver.m_guard->IsLimitedAsCold());
}

/// Neither knows that the upstream is warm.
Test(ColdUpstream, RestartedNodeOrNewProcessStartsWithoutTheLimit)
{
  Driver started;
  started.Run(seconds(2));
  cr_assert_leq(started.MostInASecond(MonotonicTime()), kTolerated - 8);
  Driver driver = WarmDriver();
  const MonotonicTime since = driver.m_now;
  driver.Hear(Heartbeat(2, seconds(3)));
  driver.Run(seconds(3));
  cr_assert_leq(driver.MostInASecond(since), kTolerated - 8);
  cr_assert_geq(driver.MostInASecond(since), 13);
  cr_assert(driver.m_guard->IsLimitedAsCold());
  // The stated time is over, and the upstream confirms that.
  driver.Run(milliseconds(100));
  cr_assert(driver.m_isAsked);
  driver.AnswerHealth(Duration(0));
  cr_assert(!driver.m_guard->IsLimitedAsCold());
}

/// The upstream comes back cold, and its next heartbeat is late.
Test(ColdUpstream, UpstreamThatWasAwayGetsCallsAsIfWarm)
{
  Driver driver = WarmDriver();
  driver.m_isDown = true;
  driver.Run(seconds(2));
  cr_assert(driver.m_guard->IsLimitedAsCold());
  const MonotonicTime since = driver.m_now;
  driver.m_isDown = false;
  // Sent before it went away.
  driver.Hear(Heartbeat(1));
  cr_assert(driver.m_guard->IsLimitedAsCold());
  driver.AnswerHealth(std::nullopt);
  driver.Run(seconds(1));
  driver.AnswerHealth(milliseconds(2'500));
  driver.Run(milliseconds(2'500));
  cr_assert_leq(driver.MostInASecond(since), kTolerated - 8);
  driver.Run(milliseconds(100));
  driver.AnswerHealth(Duration(0));
  cr_assert(!driver.m_guard->IsLimitedAsCold());
}

/// The request was answered by a process that has ended since.
Test(ColdUpstream, HealthAnswerFromBeforeTheDoubtLiftsTheLimit)
{
  Driver driver = WarmDriver();
  driver.m_isDown = true;
  driver.Run(milliseconds(50));
  cr_assert(driver.m_isAsked);
  driver.Run(milliseconds(500));
  driver.AnswerHealth(Duration(0));
  cr_assert(driver.m_guard->IsLimitedAsCold());
  cr_assert(driver.m_isAsked);
}

Test(ColdUpstream, LostCallsInARowOrSilenceAreMissed)
{
  Driver lost = WarmDriver();
  for (int i = 0; i < ColdUpstream::kMaxLost; ++i) {
    lost.Submit();
    cr_assert(!lost.m_guard->IsLimitedAsCold());
    lost.End(Answer{});
  }
  cr_assert(lost.m_guard->IsLimitedAsCold());
  Driver silent = WarmDriver();
  silent.Run(ColdUpstream::kMaxSilence + milliseconds(10));
  cr_assert(silent.m_guard->IsLimitedAsCold());
  cr_assert(silent.m_isAsked);
  silent.AnswerHealth(Duration(0));
  cr_assert(!silent.m_guard->IsLimitedAsCold());
}

/// Heartbeats that were held up contradict what the upstream has stated since.
Test(ColdUpstream, HeartbeatsLiftTheLimitBeforeTheStatedTime)
{
  Driver driver = WarmDriver();
  driver.Evacuate(true);
  driver.Evacuate(false);
  driver.AnswerHealth(milliseconds(2'500));
  for (int i = 0; i < 3; ++i) {
    driver.Run(milliseconds(500));
    driver.Hear(Heartbeat(1));
    cr_assert(driver.m_guard->IsLimitedAsCold());
  }
  driver.Run(milliseconds(1'010));
  driver.Hear(Heartbeat(1));
  cr_assert(!driver.m_guard->IsLimitedAsCold());
}

/// Two heartbeats lift the limit where health requests are not answered.
Test(ColdUpstream, UpstreamWithoutHealthAnswersStaysLimited)
{
  Driver driver = WarmDriver();
  driver.m_isDown = true;
  driver.Run(milliseconds(100));
  driver.m_isDown = false;
  driver.Run(milliseconds(100));
  driver.AnswerHealth(std::nullopt);
  driver.Hear(Heartbeat(1));
  cr_assert(driver.m_guard->IsLimitedAsCold());
  driver.Run(milliseconds(1'500));
  driver.Hear(Heartbeat(1));
  cr_assert(!driver.m_guard->IsLimitedAsCold());
}

Test(ColdUpstream, EndOfAnEvacuationIsWithoutTheLimit)
{
  Driver driver = WarmDriver();
  driver.Evacuate(true);
  const std::uint64_t before = HealthRequests(driver);
  driver.Run(seconds(2));
  cr_assert_eq(HealthRequests(driver), before);
  driver.Hear(Heartbeat(1));
  const MonotonicTime since = driver.m_now;
  driver.Evacuate(false);
  cr_assert(driver.m_isAsked);
  driver.AnswerHealth(seconds(3));
  driver.Run(seconds(3));
  cr_assert_leq(driver.MostInASecond(since), kTolerated - 8);
  cr_assert_geq(driver.MostInASecond(since), 13);
}

/// Calls that wait when the limit begins are held until their deadline.
Test(ColdUpstream, WaitingCallsThatCanNotStartInTimeAreKept)
{
  Driver driver = WarmDriver();
  driver.Run(milliseconds(20));
  for (int i = 0; i < 50; ++i) {
    driver.Submit(seconds(1));
  }
  driver.m_refusals.clear();
  driver.Hear(Heartbeat(2, seconds(3)));
  // About 14 of 50 can start within a second.
  cr_assert_geq(driver.m_refusals.size(), 25);
  cr_assert_leq(driver.m_refusals.size(), 45);
  for (const Reply& refusal : driver.m_refusals) {
    cr_assert(refusal.m_answer.m_retryAfter > Duration::zero());
  }
  cr_assert_geq(driver.m_guard->Cold().m_refused, 25);
  cr_assert_lt(driver.m_guard->Load().m_slots.Value(), 6);
  const std::size_t refused = driver.m_refusals.size();
  driver.Submit(milliseconds(200));
  cr_assert_eq(driver.m_refusals.size(), refused + 1);
}

/// Without a limit on the requests themselves, a dead upstream is asked in a
/// loop.
Test(ColdUpstream, FailedHealthRequestsAreRepeatedAtOnce)
{
  Driver driver = WarmDriver();
  const std::uint64_t before = HealthRequests(driver);
  driver.m_isDown = true;
  for (int i = 0; i < 10'000; ++i) {
    driver.Run(milliseconds(1));
    if (driver.m_isAsked) {
      driver.AnswerHealth(std::nullopt);
    }
  }
  cr_assert_leq(HealthRequests(driver) - before, 14);
  cr_assert_geq(HealthRequests(driver) - before, 8);
}

/// The upstream goes away and comes back cold again and again; its heartbeats
/// are up to 1.4 s late.
Test(ColdUpstream, SomeOrderOfEventsBreaksTheBound)
{
  constexpr Duration kWarmUp = seconds(3);
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SeededRandom random(seed);
    const auto drawn = [&](std::uint64_t aFrom, std::uint64_t aTo) {
      return milliseconds(aFrom + random.Below(aTo - aFrom));
    };
    Driver driver;
    std::vector<MonotonicTime> cold;
    std::deque<std::pair<MonotonicTime, UpstreamHeartbeat>> heartbeats;
    MonotonicTime coldUntil = driver.m_now + kWarmUp;
    MonotonicTime changeAt = driver.m_now + drawn(2'000, 9'000);
    MonotonicTime heartbeatAt = driver.m_now;
    MonotonicTime answerAt = MonotonicTime::max();
    const auto remaining = [&] {
      return std::max<Duration>(coldUntil - driver.m_now, Duration(0));
    };
    std::uint64_t limited = 0;
    for (int step = 0; step < 60'000; ++step) {
      if (driver.m_now >= changeAt) {
        driver.m_isDown = !driver.m_isDown;
        changeAt += driver.m_isDown ? drawn(100, 4'000) : drawn(500, 9'000);
        coldUntil = driver.m_now + kWarmUp;
        while (driver.m_isDown && !driver.m_running.empty()) {
          driver.End(Answer{});
        }
      }
      if (driver.m_now >= heartbeatAt && !driver.m_isDown) {
        heartbeatAt = driver.m_now + milliseconds(1'500);
        heartbeats.emplace_back(driver.m_now + drawn(0, 1'400),
                                Heartbeat(1, remaining()));
      }
      if (!heartbeats.empty() && heartbeats.front().first <= driver.m_now) {
        driver.Hear(heartbeats.front().second);
        heartbeats.pop_front();
      }
      if (driver.m_isAsked && answerAt == MonotonicTime::max()) {
        answerAt = driver.m_now + milliseconds(6);
      }
      if (driver.m_now >= answerAt) {
        answerAt = MonotonicTime::max();
        driver.AnswerHealth(driver.m_isDown ? std::nullopt
                                            : std::optional(remaining()));
      }
      const std::size_t before = driver.m_starts.size();
      driver.Run(milliseconds(1));
      if (!driver.m_isDown && driver.m_now < coldUntil) {
        cold.insert(cold.end(),
                    driver.m_starts.begin() +
                      static_cast<std::ptrdiff_t>(before),
                    driver.m_starts.end());
      }
      limited += driver.m_guard->IsLimitedAsCold() ? 1 : 0;
    }
    std::swap(driver.m_starts, cold);
    const std::size_t most = driver.MostInASecond(MonotonicTime());
    cr_assert_leq(most, kTolerated - 8, "seed %lu: %zu calls", seed, most);
    // It was cold, and warm, for a part of the time.
    cr_assert(limited > 10'000 && limited < 58'000, "seed %lu", seed);
  }
}

} // namespace tarragontray
