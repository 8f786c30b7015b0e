/// \file
/// Rules for a change from one configuration version of an account to the
/// next, beyond those that each version keeps by itself.
///
/// - The version that carries a service's traffic changes by a move only.
/// - Each service has one plan at most. A plan with a higher number replaces
///   the former; the same number with other content is refused.
/// - A new plan starts from the version that carries the traffic: m_to of a
///   former plan that is done, else m_from of a former plan, else the first
///   live version.
/// - A new plan must leave time for the ramp and the hold from now on.
/// - Plan numbers rise for as long as the account exposes the service.
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

/// The slots of a service's live upstreams of one version.
using SlotsByVersion =
  std::map<std::pair<ServiceId, UpstreamVersion>, SlotCount>;

/// What the rules need to know beside the two versions.
struct ChangeContext
{
  WallTime m_now{};
  /// Empty when the caller does not know them: then nothing is warned of.
  SlotsByVersion m_warmSlots;
  /// Moves whose outcome is done; all others count as unfinished.
  std::set<MoveId> m_doneMoves;
};

/// What an accepted change still deserves a look at.
struct ChangeReview
{
  /// One line each, beginning with the path of the field.
  std::vector<std::string> m_warnings;
};

/// Accepts or refuses a change.
/// \param aOld the version in force; null for the account's first.
/// Errors: InvalidArgument, with a detail that begins with the path of the
/// field; for a deadline that cannot be met it ends with the earliest that
/// can. Thread safety: any thread.
Result<ChangeReview>
ValidateChange(const Configuration* aOld,
               const Configuration& aNew,
               const ChangeContext& aContext);

/// The version that carries a service's traffic when no move of it runs on.
/// Precondition: aService has a live version. Thread safety: any thread.
UpstreamVersion
ServingVersion(const ServiceSpec& aService, const std::set<MoveId>& aDoneMoves);

/// The earliest deadline that a plan can meet when it is accepted at aNow.
/// Thread safety: any thread.
WallTime
EarliestDeadline(const MovePlan& aPlan,
                 const MoveLimits& aLimits,
                 WallTime aNow);

} // namespace tarragontray
