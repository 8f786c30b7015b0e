#include "request/RetryAfter.h"

#include <criterion/criterion.h>

namespace tarragontray {

using std::chrono::milliseconds;

/// Overload: callers that are told more than a third of their time give up, and
/// callers that are told the same time return together.
Test(RetryAfter, IsAtMostAThirdOfTheTimeLeftAndSpread)
{
  SeededRandom random(1);
  Duration shortest = Duration::max();
  Duration longest{ 0 };
  for (int i = 0; i < 1'000; ++i) {
    const Duration wait = RetryAfter(
      RefusalReason::QueueFull,
      { .m_stated = milliseconds(2'000), .m_timeLeft = milliseconds(1'200) },
      random);
    shortest = std::min(shortest, wait);
    longest = std::max(longest, wait);
  }
  cr_assert(longest <= milliseconds(400) && longest >= milliseconds(380));
  cr_assert(shortest >= milliseconds(240) && shortest <= milliseconds(260));
}

/// A caller that is told 200 ms can't meet an objective of 250 ms any more.
Test(RetryAfter, LeavesTimeForAnAttemptThatMeetsTheObjective)
{
  SeededRandom random(1);
  for (int i = 0; i < 100; ++i) {
    const RefusedCallTimes urgent{ .m_timeLeft = milliseconds(800),
                                   .m_timeToObjective = milliseconds(249) };
    cr_assert(RetryAfter(RefusalReason::DeadlineTooShort, urgent, random) <=
              milliseconds(83));
    const RefusedCallTimes late{ .m_timeLeft = milliseconds(800),
                                 .m_timeToObjective = milliseconds(20) };
    cr_assert(RetryAfter(RefusalReason::DeadlineTooShort, late, random) >=
              milliseconds(120));
  }
}

/// Overload: the attempts of a caller that is always refused must not follow
/// each other ever faster.
Test(RetryAfter, BoundsTheAttemptsOfOneCall)
{
  SeededRandom random(1);
  Duration left = std::chrono::seconds(4);
  int attempts = 1;
  while (attempts < 100) {
    const Duration wait =
      RetryAfter(RefusalReason::DeadlineTooShort,
                 { .m_stated = milliseconds(5'000),
                   .m_timeLeft = left,
                   .m_timeToObjective =
                     std::max(left - milliseconds(3'400), Duration(0)) },
                 random);
    if (wait > left / 3) {
      break;
    }
    left -= wait;
    ++attempts;
  }
  cr_assert(attempts <= 16, "%d attempts", attempts);
}

Test(RetryAfter, WithoutAnObjectiveIsTheStatedWaitOrAFixedOne)
{
  SeededRandom random(1);
  cr_assert(RetryAfter(RefusalReason::QueueFull, {}, random) ==
            milliseconds(200));
  cr_assert(RetryAfter(RefusalReason::NoTarget, {}, random) ==
            milliseconds(400));
  cr_assert(RetryAfter(RefusalReason::QueueFull,
                       { .m_stated = milliseconds(900) },
                       random) == milliseconds(900));
  cr_assert(RetryAfter(RefusalReason::NoRoute, {}, random) == Duration(0));
}

} // namespace tarragontray
