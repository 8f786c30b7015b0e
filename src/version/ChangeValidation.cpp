#include "version/ChangeValidation.h"

#include <algorithm>
#include <string_view>

#include "base/TimeText.h"
#include "version/FieldRules.h"

namespace tarragontray {

namespace {

const ServiceSpec*
FindService(const Configuration& aConfiguration, const ServiceId& aId)
{
  const auto& services = aConfiguration.m_services;
  const auto found =
    std::find_if(services.begin(),
                 services.end(),
                 [&](const ServiceSpec& aSpec) { return aSpec.m_id == aId; });
  return found == services.end() ? nullptr : &*found;
}

/// Validates one change, service by service.
class ChangeValidator
{
public:
  ChangeValidator(const Configuration* aOld,
                  const Configuration& aNew,
                  const ChangeContext& aContext)
    : m_old(aOld)
    , m_new(aNew)
    , m_context(aContext)
  {
  }

  Result<ChangeReview> Run()
  {
    if (m_old) {
      m_errors.Check(m_old->m_account == m_new.m_account,
                     "parameters.account",
                     "differs from the account of the version in force");
    }
    std::size_t index = 0;
    for (const ServiceSpec& service : m_new.m_services) {
      const std::string path = ElementPath("parameters.services", index++);
      const ServiceSpec* previous =
        m_old ? FindService(*m_old, service.m_id) : nullptr;
      CheckService(previous, service, path);
    }
    if (m_errors.First()) {
      return *m_errors.First();
    }
    return std::move(m_review);
  }

private:
  void CheckService(const ServiceSpec* aPrevious,
                    const ServiceSpec& aService,
                    const std::string& aPath)
  {
    if (aPrevious && aPrevious->m_move && aService.m_move &&
        aPrevious->m_move->m_id == aService.m_move->m_id) {
      m_errors.Check(
        *aPrevious->m_move == *aService.m_move,
        aPath + ".move.plan",
        "the plan already runs; a changed plan needs a higher number");
      return;
    }
    if (aPrevious) {
      CheckServingVersion(*aPrevious, aService, aPath);
      CheckPlanNumber(*aPrevious, aService, aPath);
    }
    if (aService.m_move) {
      CheckDeadline(*aService.m_move, aPath + ".move.deadline");
      WarnAboutWarmSlots(*aService.m_move, aPath + ".move.to");
    }
  }

  void CheckServingVersion(const ServiceSpec& aPrevious,
                           const ServiceSpec& aService,
                           const std::string& aPath)
  {
    const UpstreamVersion serving =
      ServingVersion(aPrevious, m_context.m_doneMoves);
    const std::string detail =
      "is not " + serving.Value() + ", the version that serves the traffic";
    if (aService.m_move) {
      m_errors.Check(
        aService.m_move->m_from == serving, aPath + ".move.from", detail);
    } else {
      m_errors.Check(aService.m_liveVersions.front() == serving,
                     aPath + ".live_versions[0]",
                     detail + "; use a move to change it");
    }
  }

  void CheckPlanNumber(const ServiceSpec& aPrevious,
                       const ServiceSpec& aService,
                       const std::string& aPath)
  {
    const std::string last = std::to_string(aPrevious.m_lastPlan.Value());
    if (aService.m_move) {
      m_errors.Check(aService.m_lastPlan > aPrevious.m_lastPlan,
                     aPath + ".move.plan",
                     "must be above " + last + ", the last plan's number");
    }
    m_errors.Check(aService.m_lastPlan >= aPrevious.m_lastPlan,
                   aPath + ".last_plan",
                   "must be at least " + last + ", the last plan's number");
  }

  void CheckDeadline(const MovePlan& aPlan, const std::string& aPath)
  {
    const WallTime earliest =
      EarliestDeadline(aPlan, m_new.m_moveLimits, m_context.m_now);
    // Rounded up, because the text form has millisecond precision.
    const auto shown = std::chrono::ceil<std::chrono::milliseconds>(earliest);
    m_errors.Check(aPlan.m_deadline >= earliest,
                   aPath,
                   "cannot be met; the earliest is " + FormatWallTime(shown));
  }

  void WarnAboutWarmSlots(const MovePlan& aPlan, const std::string& aPath)
  {
    const auto slots = [&](const UpstreamVersion& aVersion) {
      const auto found =
        m_context.m_warmSlots.find({ aPlan.m_id.m_service, aVersion });
      return found == m_context.m_warmSlots.end() ? 0U : found->second.Value();
    };
    const std::uint32_t from = slots(aPlan.m_from);
    const std::uint32_t to = slots(aPlan.m_to);
    if (to < from) {
      m_review.m_warnings.push_back(aPath + ": " + aPlan.m_to.Value() +
                                    " has " + std::to_string(to) +
                                    " warm slots, " + aPlan.m_from.Value() +
                                    " has " + std::to_string(from));
    }
  }

  const Configuration* m_old;
  const Configuration& m_new;
  const ChangeContext& m_context;
  FieldErrors m_errors{ "configuration.review" };
  ChangeReview m_review;
};

} // namespace

Result<ChangeReview>
ValidateChange(const Configuration* aOld,
               const Configuration& aNew,
               const ChangeContext& aContext)
{
  return ChangeValidator(aOld, aNew, aContext).Run();
}

UpstreamVersion
ServingVersion(const ServiceSpec& aService, const std::set<MoveId>& aDoneMoves)
{
  if (!aService.m_move) {
    return aService.m_liveVersions.front();
  }
  const MovePlan& plan = *aService.m_move;
  return aDoneMoves.contains(plan.m_id) ? plan.m_to : plan.m_from;
}

WallTime
EarliestDeadline(const MovePlan& aPlan,
                 const MoveLimits& aLimits,
                 WallTime aNow)
{
  return std::max(aPlan.m_start, aNow) + aLimits.m_minRamp + aPlan.m_hold;
}

} // namespace tarragontray
