#include "process/CallerBudget.h"

#include <criterion/criterion.h>

namespace tarragontray {

namespace {

using namespace std::chrono_literals;

constexpr MonotonicTime kStart{ 1h };
constexpr std::uint64_t kMemory = 1000;

CallerBudget
MakeBudget(std::size_t aMaxSessions = 100)
{
  return CallerBudget({ ByteCount(kMemory), aMaxSessions });
}

void
Hold(CallerBudget& aBudget,
     std::uint64_t aSession,
     std::uint64_t aBytes,
     Duration aProgress,
     bool aIsServed = false)
{
  aBudget.Open(CallerSession(aSession), kStart);
  aBudget.Report(CallerSession(aSession),
                 { ByteCount(aBytes), kStart + aProgress, aIsServed });
}

} // namespace

/// Guards against closing connections while there is memory.
Test(CallerBudget, WithinTheMemoryNothingIsClosed)
{
  CallerBudget budget = MakeBudget();
  Hold(budget, 1, kMemory, 0s);
  cr_assert(!budget.NextExcess(kStart + 1h));
}

/// Guards against closing a steady upload for connections that have stopped.
Test(CallerBudget, AStoppedCallerIsClosedBeforeASteadyOneThatHoldsMore)
{
  CallerBudget budget = MakeBudget();
  Hold(budget, 1, 700, 999ms);
  Hold(budget, 2, 400, 0s);
  cr_assert(budget.NextExcess(kStart + 1s) == CallerSession(2));
}

/// Guards against closing many idle connections, which frees little.
Test(CallerBudget, OfThoseStoppedTheOneThatHoldsMostIsClosed)
{
  CallerBudget budget = MakeBudget();
  Hold(budget, 1, 10, 0s);
  Hold(budget, 2, 1000, 5s);
  cr_assert(budget.NextExcess(kStart + 10s) == CallerSession(2));
}

/// Guards against ending a call that an upstream may have run.
Test(CallerBudget, ACallThatRunsIsClosedLast)
{
  CallerBudget budget = MakeBudget();
  Hold(budget, 1, 900, 0s, true);
  Hold(budget, 2, 200, 0s);
  cr_assert(budget.NextExcess(kStart + 5s) == CallerSession(2));
  budget.Close(CallerSession(2));
  cr_assert(!budget.NextExcess(kStart + 5s));
}

/// Guards against a loop that closes the same connection for ever.
Test(CallerBudget, AClosingSessionIsNotNamedAgain)
{
  CallerBudget budget = MakeBudget();
  Hold(budget, 1, 2000, 0s);
  budget.SetClosing(CallerSession(1));
  cr_assert(!budget.NextExcess(kStart + 1s));
}

/// Guards against bodies that leave no memory to requests without a body.
Test(CallerBudget, BodiesLeaveMemoryToOtherRequests)
{
  CallerBudget budget = MakeBudget();
  Hold(budget, 1, 750, 0s);
  cr_assert(!budget.Fits(ByteCount(1), true));
  cr_assert(budget.Fits(ByteCount(250), false));
  cr_assert(!budget.Fits(ByteCount(251), false));
}

/// Guards against refusing a request for the sake of callers that have stopped.
Test(CallerBudget, OnlyStalledSessionsMakeRoom)
{
  CallerBudget budget = MakeBudget();
  Hold(budget, 1, 300, 0s);
  Hold(budget, 2, 400, 500ms);
  Hold(budget, 3, 50, 0s, true);
  Hold(budget, 4, 500, 0s);
  cr_assert(budget.NextStalled(CallerSession(4), kStart + 1s) ==
            CallerSession(1));
  budget.Close(CallerSession(1));
  cr_assert(!budget.NextStalled(CallerSession(4), kStart + 1s));
}

/// Guards against idle connections that keep ordinary callers out.
Test(CallerBudget, TheLongestStalledSessionMakesRoomForAConnection)
{
  CallerBudget budget = MakeBudget(2);
  Hold(budget, 1, 10, 200ms);
  Hold(budget, 2, 10, 100ms);
  cr_assert(!budget.Open(CallerSession(3), kStart + 1s).m_isAccepted);
  const auto opening = budget.Open(CallerSession(3), kStart + 2s);
  cr_assert(opening.m_isAccepted);
  cr_assert(opening.m_close == CallerSession(2));
}

/// Guards against a sum that drifts, which would refuse all callers in time.
Test(CallerBudget, ClosedSessionsHoldNothing)
{
  CallerBudget budget = MakeBudget();
  Hold(budget, 1, 100, 0s);
  Hold(budget, 1, 30, 0s);
  Hold(budget, 2, 5, 0s);
  budget.Close(CallerSession(1));
  budget.Close(CallerSession(1));
  budget.Report(CallerSession(1), { ByteCount(9), kStart, false });
  cr_assert_eq(budget.Held().Value(), 5);
  cr_assert_eq(budget.Sessions(), 1);
}

/// Guards against listeners that together take what the process needs.
Test(CallerBudget, SharesAddUpToLessThanTheProcessHas)
{
  const auto shares =
    DivideAmongListeners(ByteCount(40U << 20U), 4100, 0, 2, 2);
  const auto front = shares.m_front;
  const auto admin = shares.m_admin;
  cr_assert_eq(front.m_memory.Value() * 2 + admin.m_memory.Value() * 2,
               40U << 20U);
  cr_assert_leq(front.m_maxSessions * 2 + admin.m_maxSessions * 2,
                4100 * 3 / 4);
  cr_assert_gt(front.m_maxSessions, 1000);
  const auto few = DivideAmongListeners(ByteCount(1), 4100, 10, 1, 1);
  cr_assert_eq(few.m_front.m_maxSessions, 10);
}

} // namespace tarragontray
