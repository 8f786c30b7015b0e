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

/// Reviews one change, service by service.
class Reviewer
{
public:
  Reviewer(const Configuration* aOld,
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
                     "is another account's");
    }
    std::size_t index = 0;
    for (const ServiceSpec& service : m_new.m_services) {
      const std::string path = ElementPath("parameters.services", index++);
      const ServiceSpec* former =
        m_old ? FindService(*m_old, service.m_id) : nullptr;
      CheckService(former, service, path);
    }
    if (m_errors.First()) {
      return *m_errors.First();
    }
    return std::move(m_review);
  }

private:
  void CheckService(const ServiceSpec* aFormer,
                    const ServiceSpec& aService,
                    const std::string& aPath)
  {
    if (aFormer && aFormer->m_move && aService.m_move &&
        aFormer->m_move->m_id == aService.m_move->m_id) {
      m_errors.Check(
        *aFormer->m_move == *aService.m_move,
        aPath + ".move.plan",
        "this plan runs already; a changed one needs a new number");
      return;
    }
    if (aFormer) {
      CheckCarryingVersion(*aFormer, aService, aPath);
      CheckPlanNumber(*aFormer, aService, aPath);
    }
    if (aService.m_move) {
      CheckDeadline(*aService.m_move, aPath + ".move.deadline");
      WarnOfSlots(*aService.m_move, aPath + ".move.to");
    }
  }

  void CheckCarryingVersion(const ServiceSpec& aFormer,
                            const ServiceSpec& aService,
                            const std::string& aPath)
  {
    const UpstreamVersion carrying =
      ServingVersion(aFormer, m_context.m_doneMoves);
    const std::string detail =
      "is not " + carrying.Value() + ", the version that carries the traffic";
    if (aService.m_move) {
      m_errors.Check(
        aService.m_move->m_from == carrying, aPath + ".move.from", detail);
    } else {
      m_errors.Check(aService.m_liveVersions.front() == carrying,
                     aPath + ".live_versions[0]",
                     detail + "; change it by a move");
    }
  }

  void CheckPlanNumber(const ServiceSpec& aFormer,
                       const ServiceSpec& aService,
                       const std::string& aPath)
  {
    const std::string last = std::to_string(aFormer.m_lastPlan.Value());
    if (aService.m_move) {
      m_errors.Check(aService.m_lastPlan > aFormer.m_lastPlan,
                     aPath + ".move.plan",
                     "is not above " + last + ", the last plan's number");
    }
    m_errors.Check(aService.m_lastPlan >= aFormer.m_lastPlan,
                   aPath + ".last_plan",
                   "is below " + last + ", the last plan's number");
  }

  void CheckDeadline(const MovePlan& aPlan, const std::string& aPath)
  {
    const WallTime earliest =
      EarliestDeadline(aPlan, m_new.m_moveLimits, m_context.m_now);
    // Rounded up to the millisecond, the finest that the text can say.
    const auto shown = std::chrono::ceil<std::chrono::milliseconds>(earliest);
    m_errors.Check(aPlan.m_deadline >= earliest,
                   aPath,
                   "cannot be met; the earliest is " + FormatWallTime(shown));
  }

  void WarnOfSlots(const MovePlan& aPlan, const std::string& aPath)
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
  return Reviewer(aOld, aNew, aContext).Run();
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
