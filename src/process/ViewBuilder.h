/// \file
/// Builds the view of traffic threads from what the control part knows.
///
///     ViewInputs inputs{ ... };
///     std::shared_ptr<const View> view = BuildView(self, inputs);
///
/// A service's targets are the members whose upstream announced it, is
/// starting or live, and has a version that may get traffic now. A member that
/// is suspected keeps its place until it is found dead; the balancing avoids
/// it by its failures.
///
/// Thread safety: pure functions.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "base/Ids.h"
#include "process/MemberRecord.h"
#include "process/View.h"
#include "version/Configuration.h"

namespace tarragontray {

/// What a view is made of. Borrowed for the call.
struct ViewInputs
{
  const std::map<VmId, MemberRecord>& m_members;
  const std::vector<std::shared_ptr<const Configuration>>& m_configurations;
  /// The split of a service with a move in force.
  std::function<std::optional<VersionSplit>(const ServiceId&)> m_splitOf;
  /// The view before this one, or null. Key placements of services whose
  /// targets are the same are taken over from it.
  const View* m_previous = nullptr;
};

/// The view of the node that aSelf describes.
std::shared_ptr<const View>
BuildView(const MemberRecord& aSelf, const ViewInputs& aInputs);

/// The services that some member that is not dead has announced.
std::set<ServiceId>
AnnouncedServices(const std::map<VmId, MemberRecord>& aMembers);

/// Slots of live upstreams on one side of a move: m_from or m_to of its plan.
SlotCount
WarmSlots(const std::map<VmId, MemberRecord>& aMembers,
          const MovePlan& aPlan,
          const UpstreamVersion& aSide);

} // namespace tarragontray
