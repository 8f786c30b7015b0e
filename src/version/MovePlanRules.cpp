#include "version/MovePlanRules.h"

#include <algorithm>

#include "base/TimeText.h"

namespace tarragontray {

namespace {

const WallTime kLastTime =
  std::chrono::sys_days(std::chrono::year(2200) / std::chrono::January / 1);

} // namespace

void
CheckMovePlan(const MovePlan& aPlan,
              const ServiceSpec& aService,
              const MoveLimits& aLimits,
              const std::string& aPath,
              FieldErrors& aErrors)
{
  const auto& live = aService.m_liveVersions;
  const auto isLive = [&](const UpstreamVersion& aVersion) {
    return std::find(live.begin(), live.end(), aVersion) != live.end();
  };
  aErrors.Check(
    aPlan.m_id.m_plan.Value() > 0, aPath + ".plan", "plans start at 1");
  aErrors.Check(aPlan.m_id.m_plan == aService.m_lastPlan,
                aPath + ".plan",
                "is below last_plan: plan numbers rise");
  aErrors.Check(isLive(aPlan.m_from), aPath + ".from", "is not a live version");
  aErrors.Check(isLive(aPlan.m_to), aPath + ".to", "is not a live version");
  aErrors.Check(
    aPlan.m_from != aPlan.m_to, aPath + ".to", "is the same as from");
  aErrors.Check(aPlan.m_hold >= aLimits.m_minHold,
                aPath + ".hold_ms",
                "is below the template's min_hold_ms");
  aErrors.Check(aPlan.m_hold <= aLimits.m_maxDuration,
                aPath + ".hold_ms",
                "is above the template's max_duration_ms");
  aErrors.Check(aPlan.m_start > WallTime{} && aPlan.m_start < kLastTime,
                aPath + ".start",
                "is not within 1970 to 2199");
  aErrors.Check(aPlan.m_deadline > aPlan.m_start &&
                  aPlan.m_deadline < kLastTime,
                aPath + ".deadline",
                "is not between start and 2199");
  if (aErrors.First()) {
    // The arithmetic below could overflow with values out of bounds.
    return;
  }
  const Duration length = aPlan.m_deadline - aPlan.m_start;
  const WallTime earliest = aPlan.m_start + aLimits.m_minRamp + aPlan.m_hold;
  aErrors.Check(aPlan.m_deadline >= earliest,
                aPath + ".deadline",
                "leaves less than min_ramp_ms and hold_ms after start; the "
                "earliest is " +
                  FormatWallTime(earliest));
  aErrors.Check(length <= aLimits.m_maxDuration,
                aPath + ".deadline",
                "is later than max_duration_ms after start");
}

} // namespace tarragontray
