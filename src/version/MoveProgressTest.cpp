#include "version/MoveProgress.h"

#include <criterion/criterion.h>

#include "base/Random.h"

namespace tarragontray {

namespace {

using namespace std::chrono_literals;

constexpr int kDraws = 500;

MoveProgress
DrawProgress(Random& aRandom)
{
  MoveProgress progress;
  for (const char* name : { "dc1", "dc2", "dc3" }) {
    if (aRandom.Below(3) == 0) {
      continue;
    }
    DataCentreProgress& own = progress.m_dataCentres[DataCentreId(name)];
    own.m_epoch = ProgressEpoch(static_cast<std::uint32_t>(aRandom.Below(3)));
    own.m_share = Share::FromFraction(0.25 * double(aRandom.Below(5)));
    if (own.m_share == Share::All()) {
      own.m_fullShareSince = WallTime(1s * aRandom.Below(4));
    }
  }
  if (aRandom.Below(4) == 0) {
    progress.m_veto = Veto{ WallTime(1s * aRandom.Below(4)),
                            DataCentreId("dc1"),
                            RouteName("buy"),
                            "bad" };
  }
  return progress;
}

MoveProgress
Merged(MoveProgress aLeft, const MoveProgress& aRight)
{
  Merge(aLeft, aRight);
  return aLeft;
}

} // namespace

Test(MoveProgress, MergeIsAJoin)
{
  SeededRandom random(11);
  for (int i = 0; i < kDraws; ++i) {
    const MoveProgress a = DrawProgress(random);
    const MoveProgress b = DrawProgress(random);
    const MoveProgress c = DrawProgress(random);
    cr_assert(Merged(a, b) == Merged(b, a), "draw %d", i);
    cr_assert(Merged(Merged(a, b), c) == Merged(a, Merged(b, c)));
    cr_assert(Merged(a, a) == a);
    MoveProgress known = Merged(a, b);
    cr_assert(!Merge(known, b));
  }
}

Test(MoveProgress, AVetoOutranksEveryShareAndEpoch)
{
  const DataCentreId dataCentre("dc1");
  MoveProgress vetoed;
  vetoed.m_veto = Veto{ WallTime(1s), dataCentre, RouteName("buy"), "bad" };
  MoveProgress stale;
  stale.m_dataCentres[dataCentre] = { ProgressEpoch(9), Share::All(), {} };
  Merge(vetoed, stale);
  cr_assert(EffectiveShare(vetoed, dataCentre) == Share::None());
  Merge(stale, vetoed);
  cr_assert(EffectiveShare(stale, dataCentre) == Share::None());
}

Test(MoveProgress, ANewerEpochLowersTheShareAndEndsTheHold)
{
  const DataCentreId dataCentre("dc1");
  MoveProgress whole;
  whole.m_dataCentres[dataCentre] = { ProgressEpoch(1),
                                      Share::All(),
                                      WallTime(5s) };
  MoveProgress lowered;
  lowered.m_dataCentres[dataCentre] = { ProgressEpoch(2),
                                        Share::FromFraction(0.5),
                                        {} };
  cr_assert(Merge(whole, lowered));
  cr_assert(EffectiveShare(whole, dataCentre) == Share::FromFraction(0.5));
  cr_assert(!whole.m_dataCentres[dataCentre].m_fullShareSince.has_value());
}

} // namespace tarragontray
