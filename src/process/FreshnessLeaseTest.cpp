#include "process/FreshnessLease.h"

#include <criterion/criterion.h>

#include "base/Clock.h"
#include "base/PlatformEra.h"

namespace tarragontray {

namespace {

using namespace std::chrono_literals;

constexpr Revision kRevision{ 7 };

FreshnessLease
MakeLease()
{
  auto lease = FreshnessLease::Create({ .m_limit = 5s }).value();
  lease.SetUsed(kRevision);
  return lease;
}

} // namespace

// A node that starts has not heard anything of the store.
Test(FreshnessLease, IsNotFreshBeforeTheFirstConfirmation)
{
  const ManualClock clock;
  cr_assert(!MakeLease().IsFresh(clock.BootNow()));
}

Test(FreshnessLease, LapsesBeforeTheLimitAlsoWhileTheVmIsSuspended)
{
  ManualClock clock;
  FreshnessLease lease = MakeLease();
  lease.Confirm({ clock.BootNow(), kRevision });
  clock.Advance(2s);
  cr_assert(lease.IsFresh(clock.BootNow()));
  clock.Suspend(2750ms);
  cr_assert(lease.IsFresh(clock.BootNow()));
  clock.Suspend(1ms);
  cr_assert(!lease.IsFresh(clock.BootNow()));
}

// A node that has missed a version must not count a confirmation of it.
Test(FreshnessLease, CountsOnlyConfirmationsOfTheUsedRevisionOrOlderOnes)
{
  const ManualClock clock;
  FreshnessLease lease = MakeLease();
  lease.Confirm({ clock.BootNow(), Revision(8) });
  cr_assert(!lease.IsFresh(clock.BootNow()));
  lease.Confirm({ clock.BootNow(), Revision(6) });
  cr_assert(lease.IsFresh(clock.BootNow()));
}

// After a restore of the store, a lower revision of an earlier era can be the
// newer version.
Test(FreshnessLease, DoesNotCompareRevisionsOfDifferentEras)
{
  const ManualClock clock;
  FreshnessLease lease = MakeLease();
  lease.SetUsed(*RevisionIn(PlatformEra(1), 3));
  lease.Confirm({ clock.BootNow(), kRevision });
  cr_assert(!lease.IsFresh(clock.BootNow()));
  lease.Confirm({ clock.BootNow(), *RevisionIn(PlatformEra(1), 3) });
  cr_assert(lease.IsFresh(clock.BootNow()));
}

// A node has to ask others before the knowledge of its coordinator is too old
// to outlast 3 s without the store.
Test(FreshnessLease, AsksReadersAndTheStoreAsTheAgeGrows)
{
  ManualClock clock;
  FreshnessLease lease = MakeLease();
  cr_assert(lease.NeedsReaders(clock.BootNow(), false));
  lease.Confirm({ clock.BootNow(), kRevision });
  clock.Advance(1s);
  cr_assert(lease.NeedsReaders(clock.BootNow(), true));
  cr_assert(!lease.NeedsReaders(clock.BootNow(), false));
  clock.Advance(500ms);
  cr_assert(lease.NeedsReaders(clock.BootNow(), false));
  cr_assert(!lease.NeedsOwnRead(clock.BootNow()));
  clock.Advance(600ms);
  cr_assert(lease.NeedsOwnRead(clock.BootNow()));
}

// An answer that was delayed must not make the knowledge look older or newer.
Test(FreshnessLease, KeepsTheLatestConfirmation)
{
  const ManualClock clock;
  FreshnessLease lease = MakeLease();
  lease.Confirm({ clock.BootNow() - 1s, kRevision });
  lease.Confirm({ clock.BootNow() - 2s, kRevision });
  cr_assert(lease.Age(clock.BootNow()) == std::optional<Duration>(1s));
}

Test(FreshnessLease, WithoutALimitEverythingIsFresh)
{
  const ManualClock clock;
  const auto lease = FreshnessLease::Create({});
  cr_assert(lease && lease.value().IsFresh(clock.BootNow()));
  cr_assert(!FreshnessLease::Create({ .m_limit = 250ms }));
}

} // namespace tarragontray
