/// \file
/// Validation of a change from one configuration version of an account to the
/// next. Rules that concern a single version are checked by ExpandTemplate.
///
/// - The upstream version that serves a service's traffic changes only by a
///   move.
/// - Each service has at most one plan. A plan with a higher number replaces
///   the previous plan; a plan with the same number and different content is
///   rejected.
/// - A new plan starts from the version that serves the traffic: m_to of the
///   previous plan if its move is done, m_from of the previous plan if not, or
///   the first live version if there was no plan.
/// - The deadline of a new plan leaves enough time from now for the ramp and
///   the hold.
/// - Plan numbers increase for as long as the account exposes the service.
///
///     ChangeContext context{ clock.WallNow(), {}, {} };
///     Result<ChangeReview> review = ValidateChange(&old, next, context);
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/Result.h"
#include "version/Configuration.h"

namespace tarragontray {

/// Slots of the live upstreams, by service and upstream version.
using SlotsByVersion =
  std::map<std::pair<ServiceId, UpstreamVersion>, SlotCount>;

/// The state that the rules use besides the two configuration versions.
struct ChangeContext
{
  WallTime m_now{};
  /// Empty when not available: then there are no warnings about slots.
  SlotsByVersion m_warmSlots;
  /// Moves with the outcome "done". All other moves count as unfinished.
  std::set<MoveId> m_doneMoves;
};

/// The result of accepting a change.
struct ChangeReview
{
  /// Warnings for the operator: one line each, beginning with the path of the
  /// field.
  std::vector<std::string> m_warnings;
};

/// Accepts or rejects a change.
/// \param aOld the version in force; null for the account's first version.
/// Errors: InvalidArgument, with a detail that begins with the path of the
/// field. For a deadline that cannot be met, the detail ends with the earliest
/// deadline that can. Thread safety: any thread.
Result<ChangeReview>
ValidateChange(const Configuration* aOld,
               const Configuration& aNew,
               const ChangeContext& aContext);

/// The upstream version that serves the service's traffic when no move is
/// running: m_to if the plan's move is done, else m_from; without a plan, the
/// first live version.
/// Precondition: aService has a live version. Thread safety: any thread.
UpstreamVersion
ServingVersion(const ServiceSpec& aService, const std::set<MoveId>& aDoneMoves);

/// The earliest deadline that the plan can meet if it is accepted at aNow.
/// Thread safety: any thread.
WallTime
EarliestDeadline(const MovePlan& aPlan,
                 const MoveLimits& aLimits,
                 WallTime aNow);

} // namespace tarragontray
