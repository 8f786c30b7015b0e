#include "request/AccountShares.h"

#include <string>

#include <criterion/criterion.h>

#include "request/ObjectiveAdmission.h"

namespace tarragontray {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{ std::chrono::hours(1) };
constexpr Duration kServiceTime = milliseconds(150);

/// Each account offers a call every 500 ms, the first one as many as aFirst;
/// aStarts of those start, and all of the others. Returns the end.
MonotonicTime
Play(AccountShares& aShares,
     MonotonicTime aStart,
     Duration aTime,
     int aFirst,
     int aStarts)
{
  MonotonicTime now = aStart;
  for (; now < aStart + aTime; now += milliseconds(500)) {
    for (int account = 0; account < 10; ++account) {
      const ClientAccountId id(std::to_string(account));
      for (int call = 0; call < (account == 0 ? aFirst : 1); ++call) {
        aShares.OnOffered(id, now);
        if (account > 0 || call < aStarts) {
          aShares.OnStarted(id, kServiceTime, now);
        }
      }
    }
  }
  return now;
}

const ClientAccountId kFirst("0");
const ClientAccountId kOther("1");

} // namespace

/// Load: a large account at its usual rate, and then at four times that rate.
/// Guards against holding back an account for its size, and against letting a
/// sudden rise delay the others.
Test(AccountShares, LargeAccountIsOverItsShareOnlyAboveItsUsualRate)
{
  AccountShares shares;
  const MonotonicTime usual = Play(shares, kStart, seconds(20), 5, 5);
  cr_assert(!shares.IsOverShare(kFirst, usual));
  const MonotonicTime raised = Play(shares, usual, seconds(6), 20, 20);
  cr_assert(shares.IsOverShare(kFirst, raised));
  cr_assert(!shares.IsOverShare(kOther, raised));
  cr_assert_eq(shares.ActiveAccounts(), 10);
}

/// Guards against starving the account at several times its usual rate.
Test(AccountShares, AccountWhoseCallsSeldomStartIsNotHeldBack)
{
  AccountShares shares;
  const MonotonicTime usual = Play(shares, kStart, seconds(20), 2, 2);
  cr_assert(
    shares.IsOverShare(kFirst, Play(shares, usual, seconds(8), 30, 20)));
  AccountShares starving;
  Play(starving, kStart, seconds(20), 2, 2);
  cr_assert(
    !starving.IsOverShare(kFirst, Play(starving, usual, seconds(8), 60, 6)));
}

/// Guards against an order that changes where there is one account only.
Test(AccountShares, SingleAccountIsNeverOverItsShare)
{
  AccountShares shares;
  MonotonicTime now = kStart;
  for (int i = 0; i < 100; ++i, now += milliseconds(10)) {
    shares.OnOffered(kFirst, now);
    shares.OnStarted(kFirst, kServiceTime, now);
  }
  cr_assert(!shares.IsOverShare(kFirst, now));
}

/// Load: an account that sends more than the queue holds, beside another one.
/// Guards against a queue without room for the others, and against counting
/// calls without an account, such as inner calls, as those of one.
Test(ObjectiveAdmission, OneAccountHoldsHalfOfTheQueueAtMost)
{
  AdmissionBounds bounds;
  bounds.m_owner = ClientAccountId("owner");
  bounds.m_limit = 8;
  const auto policy = ObjectiveAdmission::Create(bounds).value();
  const UpstreamCapacity busy{ SlotCount(4), 4, milliseconds(10) };
  std::uint64_t ticket = 0;
  const auto offer = [&](const char* aAccount, Duration aObjective) {
    WaitingCall call;
    call.m_ticket = Ticket(++ticket);
    call.m_caller = ClientAccountId(aAccount);
    call.m_deadline = kStart + seconds(9);
    call.m_objective = kStart + aObjective;
    call.m_serviceTime = milliseconds(10);
    return policy->Offer(call, busy, kStart + milliseconds(300) * ticket);
  };
  offer("small", seconds(8));
  for (int i = 0; i < 4; ++i) {
    cr_assert(offer("large", seconds(8)).empty());
  }
  const auto refused = offer("large", seconds(8));
  cr_assert(refused.size() == 1 && refused[0].m_ticket == Ticket(ticket));
  cr_assert(refused[0].m_reason == RefusalReason::FairShare);
  // An earlier objective takes the place of the account's own last call.
  const auto replaced = offer("large", seconds(7));
  cr_assert(replaced.size() == 1 && replaced[0].m_ticket == Ticket(5));
  for (int i = 0; i < 3; ++i) {
    cr_assert(offer("owner", seconds(8)).empty());
  }
  cr_assert_eq(policy->Size(), 8);
}

} // namespace tarragontray
