#include "version/ChangeValidation.h"

#include <functional>
#include <string>

#include <criterion/criterion.h>

#include "base/TimeText.h"
#include "version/ConfigurationSamples.h"
#include "version/Expansion.h"

namespace tarragontray {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const UpstreamVersion kV1{ "v1" };
const UpstreamVersion kV2{ "v2" };
const UpstreamVersion kV3{ "v3" };

WallTime
At(const char* aText)
{
  return ParseWallTime(aText).value();
}

/// The sample: plan 4 moves from v1 to v2 with a deadline ten minutes after its
/// start.
Configuration
WithPlan()
{
  return ExpandTemplate(SampleTemplate(), SampleParameters(), Revision{ 1 })
    .value();
}

ServiceSpec&
BoxOffice(Configuration& aConfiguration)
{
  return aConfiguration.m_services[0];
}

Configuration
WithoutPlan()
{
  Configuration configuration = WithPlan();
  BoxOffice(configuration).m_move.reset();
  BoxOffice(configuration).m_lastPlan = PlanNumber{ 3 };
  return configuration;
}

/// A successor of WithPlan, whose plan 5 moves from aFrom to v3.
Configuration
WithNextPlan(const UpstreamVersion& aFrom)
{
  Configuration configuration = WithPlan();
  ServiceSpec& service = BoxOffice(configuration);
  service.m_liveVersions = { aFrom, kV3 };
  service.m_lastPlan = PlanNumber{ 5 };
  service.m_move->m_id.m_plan = PlanNumber{ 5 };
  service.m_move->m_from = aFrom;
  service.m_move->m_to = kV3;
  return configuration;
}

ChangeContext
Context()
{
  ChangeContext context;
  context.m_now = At("2026-12-04T17:59:00Z");
  return context;
}

/// "accepted" or the detail of the error.
std::string
ReviewOutcome(const Configuration* aOld,
              const Configuration& aNew,
              const ChangeContext& aContext = Context())
{
  const Result<ChangeReview> review = ValidateChange(aOld, aNew, aContext);
  return review ? "accepted" : review.error().Detail();
}

} // namespace

Test(ValidateChange, AcceptsAFirstPlan)
{
  const Configuration old = WithoutPlan();
  cr_assert(ReviewOutcome(&old, WithPlan()) == "accepted");
  cr_assert(ReviewOutcome(nullptr, WithPlan()) == "accepted");
}

Test(ValidateChange, RejectsAnUnreachableDeadlineAndReportsTheEarliest)
{
  const Configuration old = WithoutPlan();
  ChangeContext context = Context();
  // The ramp takes 10 s and the hold 60 s, and the deadline is 18:10:00.
  context.m_now = At("2026-12-04T18:08:50Z");
  cr_assert(ReviewOutcome(&old, WithPlan(), context) == "accepted");
  context.m_now += Duration(1);
  cr_assert(ReviewOutcome(&old, WithPlan(), context) ==
            "parameters.services[0].move.deadline: cannot be met; the "
            "earliest is 2026-12-04T18:10:00.001Z");
}

Test(ValidateChange, UnchangedPlanSkipsTheDeadlineCheck)
{
  const Configuration old = WithPlan();
  Configuration next = WithPlan();
  next.m_routes[0].m_timeout = milliseconds(700);
  ChangeContext context = Context();
  context.m_now = At("2026-12-04T18:09:59Z");
  cr_assert(ReviewOutcome(&old, next, context) == "accepted");
}

Test(ValidateChange, RejectsChangingAPlanWithoutANewNumber)
{
  const Configuration old = WithPlan();
  Configuration next = WithPlan();
  BoxOffice(next).m_move->m_deadline += minutes(5);
  cr_assert(
    ReviewOutcome(&old, next).starts_with("parameters.services[0].move.plan"));
}

Test(ValidateChange, PlanNumbersMustIncrease)
{
  const Configuration old = WithPlan();
  Configuration next = WithNextPlan(kV1);
  cr_assert(ReviewOutcome(&old, next) == "accepted");
  BoxOffice(next).m_lastPlan = PlanNumber{ 3 };
  BoxOffice(next).m_move->m_id.m_plan = PlanNumber{ 3 };
  cr_assert(
    ReviewOutcome(&old, next).starts_with("parameters.services[0].move.plan"));
}

Test(ValidateChange, PlanNumbersMustIncreaseAfterACancelledPlan)
{
  const Configuration old = WithPlan();
  Configuration cancelled = WithoutPlan();
  cr_assert(ReviewOutcome(&old, cancelled)
              .starts_with("parameters.services[0].last_plan"));
  BoxOffice(cancelled).m_lastPlan = PlanNumber{ 4 };
  cr_assert(ReviewOutcome(&old, cancelled) == "accepted");
  cr_assert(ReviewOutcome(&cancelled, WithPlan())
              .starts_with("parameters.services[0].move.plan"));
}

Test(ValidateChange, PlanAfterAnUnfinishedMoveStartsFromItsOldVersion)
{
  const Configuration old = WithPlan();
  cr_assert(ReviewOutcome(&old, WithNextPlan(kV1)) == "accepted");
  cr_assert(ReviewOutcome(&old, WithNextPlan(kV2))
              .starts_with("parameters.services[0].move.from"));
}

Test(ValidateChange, PlanAfterACompletedMoveStartsFromItsNewVersion)
{
  const Configuration old = WithPlan();
  ChangeContext context = Context();
  context.m_doneMoves.insert(old.m_services[0].m_move->m_id);
  cr_assert(ReviewOutcome(&old, WithNextPlan(kV2), context) == "accepted");
  cr_assert(ReviewOutcome(&old, WithNextPlan(kV1), context)
              .starts_with("parameters.services[0].move.from"));
}

Test(ValidateChange, RejectsChangingTheServingVersionWithoutAMove)
{
  const Configuration old = WithoutPlan();
  Configuration next = WithoutPlan();
  BoxOffice(next).m_liveVersions = { kV2, kV1 };
  cr_assert(ReviewOutcome(&old, next)
              .starts_with("parameters.services[0].live_versions[0]"));
}

Test(ValidateChange, WarnsWhenTheNewVersionHasFewerWarmSlots)
{
  const Configuration next = WithPlan();
  const ServiceId service = next.m_services[0].m_id;
  ChangeContext context = Context();
  context.m_warmSlots[{ service, kV1 }] = SlotCount{ 72 };
  context.m_warmSlots[{ service, kV2 }] = SlotCount{ 24 };
  const Result<ChangeReview> review = ValidateChange(nullptr, next, context);
  cr_assert(review.value().m_warnings.size() == 1);
  cr_assert(review.value().m_warnings[0] ==
            "parameters.services[0].move.to: v2 has 24 warm slots, v1 has 72");
  context.m_warmSlots[{ service, kV2 }] = SlotCount{ 72 };
  cr_assert(ValidateChange(nullptr, next, context).value().m_warnings.empty());
}

Test(ValidateChange, RejectsAChangeOfAccount)
{
  const Configuration old = WithoutPlan();
  Configuration next = WithoutPlan();
  next.m_account = ClientAccountId{ "vanua-voice" };
  cr_assert(ReviewOutcome(&old, next).starts_with("parameters.account: "));
}

} // namespace tarragontray
