/// \file
/// Builds the View for traffic threads from membership, configurations and
/// moves.
///
///     ViewInputs inputs{ ... };
///     std::shared_ptr<const View> view = BuildView(self, inputs);
///
/// A service's targets are the members whose upstream announced the service, is
/// starting or live, has a version that the current split sends traffic to, and
/// is not in a data centre that is being evacuated.
/// A suspected member stays a target until it is declared dead; until then load
/// balancing avoids it if its calls fail.
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

/// Inputs of BuildView; the references need to be valid during the call only.
struct ViewInputs
{
  const std::map<VmId, MemberRecord>& m_members;
  const std::vector<std::shared_ptr<const Configuration>>& m_configurations;
  /// Returns the split of a service that a move determines, or nullopt.
  std::function<std::optional<VersionSplit>(const ServiceId&)> m_splitOf;
  /// The previous view, or null. Key placements are reused from it for services
  /// with unchanged targets.
  const View* m_previous = nullptr;
  /// The data centres whose upstreams must not receive calls; null: none.
  const std::set<DataCentreId>* m_evacuated = nullptr;
  /// The newest version of an account's configuration that this node uses or
  /// has rejected. May be empty: the one in use.
  std::function<Revision(const ClientAccountId&)> m_revisionOf{};
  /// Nodes that have registered with the platform, 0 when not known.
  std::size_t m_registeredNodes = 0;
};

/// Builds the view of the node described by aSelf.
std::shared_ptr<const View>
BuildView(const MemberRecord& aSelf, const ViewInputs& aInputs);

/// The services announced by members that are not dead.
std::set<ServiceId>
AnnouncedServices(const std::map<VmId, MemberRecord>& aMembers);

/// The total slots of live upstreams on one side of a move. aSide is m_from or
/// m_to of aPlan. Upstreams in the data centres of aEvacuated do not count.
SlotCount
WarmSlots(const std::map<VmId, MemberRecord>& aMembers,
          const MovePlan& aPlan,
          const UpstreamVersion& aSide,
          const std::set<DataCentreId>& aEvacuated);

} // namespace tarragontray
