#include "request/testing/MixModel.h"

#include <criterion/criterion.h>

namespace tarragontray {

namespace {

using std::chrono::seconds;
using testing::MixResult;
using testing::MixSettings;
using testing::MixStats;

constexpr std::uint64_t kSeeds[] = { 1, 2, 3 };

/// The mix on half of its upstreams, for a test's time.
MixSettings
AtLoad(MixSettings aMix, std::uint64_t aSeed, double aLoad)
{
  for (testing::MixService& service : aMix.m_services) {
    service.m_targets = (service.m_targets + 1) / 2;
  }
  aMix.m_seed = aSeed;
  aMix.m_load = aLoad;
  aMix.m_warmUp = seconds(3);
  aMix.m_duration = seconds(9);
  return aMix;
}

} // namespace

/// Load: the first deployment's calls at twice their upstreams' capacity, where
/// nearly all calls start as late as they may. Guards against starting them so
/// late that they miss their objective after all.
Test(MixModel, UnderOverloadFewAnswersAreLate)
{
  for (const std::uint64_t seed : kSeeds) {
    const MixResult result =
      testing::RunMix(AtLoad(testing::StationsMix(), seed, 2.0));
    const MixStats total = result.Total();
    const double answered = static_cast<double>(total.m_inTime + total.m_late);
    const double lateShare = static_cast<double>(total.m_late) / answered;
    cr_assert(lateShare <= 0.27,
              "seed %lu: %.3f of the answers are late\n%s",
              seed,
              lateShare,
              result.Text().c_str());
  }
}

/// Load: the second deployment's calls at 1.3 times their upstreams' capacity.
/// Browsing makes inner calls to the orders' upstreams, where orders are more
/// urgent. Guards against refusing those, which wastes the work of their
/// parents and keeps their slots for the whole wait: browsing then got 0.16 of
/// its value.
Test(MixModel, LessUrgentInnerCallsAreServedWithoutHarmToOrders)
{
  for (const std::uint64_t seed : kSeeds) {
    const MixResult result =
      testing::RunMix(AtLoad(testing::PreOrderMix(), seed, 1.3));
    const MixStats& browse = result.Kind("browse");
    const MixStats& order = result.Kind("order");
    const double failed = static_cast<double>(browse.m_failed) /
                          static_cast<double>(browse.m_offered);
    cr_assert(failed <= 0.02 && browse.ValueShare() >= 0.35,
              "seed %lu\n%s",
              seed,
              result.Text().c_str());
    cr_assert(order.ValueShare() >= browse.ValueShare() &&
                order.ValueShare() >= 0.65,
              "seed %lu\n%s",
              seed,
              result.Text().c_str());
  }
}

/// Load: the first deployment's calls, with an account of a seventh of them
/// that rises to 3.5 times its usual rate. Guards against calls of the others
/// that pay for it, and against starving the account.
Test(MixModel, AccountAboveItsUsualRateDelaysItselfFirst)
{
  for (const std::uint64_t seed : kSeeds) {
    MixSettings settings = AtLoad(testing::StationsMix(), seed, 0.7);
    settings.m_accounts.assign(40, 1.0);
    settings.m_accounts[0] = 7;
    settings.m_flood = 3.5;
    settings.m_warmUp = seconds(6);
    settings.m_duration = seconds(14);
    const MixResult result = testing::RunMix(settings);
    const MixStats& large = result.m_accounts[0];
    MixStats others;
    for (std::size_t i = 1; i < result.m_accounts.size(); ++i) {
      others.m_value += result.m_accounts[i].m_value;
      others.m_offeredValue += result.m_accounts[i].m_offeredValue;
    }
    cr_assert(others.ValueShare() >= large.ValueShare() + 0.05,
              "seed %lu: %.3f, others %.3f",
              seed,
              large.ValueShare(),
              others.ValueShare());
    cr_assert(large.ServedShare() >= 0.5 * result.Total().ServedShare());
  }
}

/// Load: both deployments' calls at 1.3 and 2 times their upstreams' capacity.
/// Guards against calls that wait until their deadline behind others that keep
/// coming, instead of a refusal after which their caller can try again.
Test(MixModel, NoCallIsHeldForMostOfItsTimeAndThenRefused)
{
  for (const double load : { 1.3, 2.0 }) {
    for (const MixSettings& mix :
         { testing::PreOrderMix(), testing::StationsMix() }) {
      const MixResult result = testing::RunMix(AtLoad(mix, 1, load));
      const MixStats total = result.Total();
      const double offered = static_cast<double>(total.m_offered);
      cr_assert(static_cast<double>(total.m_heldToDeadline) <= 0.01 * offered &&
                  static_cast<double>(total.m_unknown) <= 0.01 * offered,
                "load %.1f\n%s",
                load,
                result.Text().c_str());
    }
  }
}

} // namespace tarragontray
