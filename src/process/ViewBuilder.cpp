#include "process/ViewBuilder.h"

#include <algorithm>
#include <utility>

#include "base/Hash.h"
#include "request/Subset.h"

namespace tarragontray {

namespace {

bool
MayReceiveCalls(const MemberRecord& aMember)
{
  const UpstreamState state = aMember.m_upstream.m_state;
  return aMember.m_state != NodeState::Dead &&
         (state == UpstreamState::Starting || state == UpstreamState::Live);
}

Target
TargetOf(const MemberRecord& aMember)
{
  return Target{ .m_vm = aMember.m_vm,
                 .m_dataCentre = aMember.m_dataCentre,
                 .m_region = aMember.m_region,
                 .m_peerAddress = aMember.m_peerAddress,
                 .m_version = aMember.m_upstream.m_version,
                 .m_state = aMember.m_upstream.m_state,
                 .m_slots = aMember.m_upstream.m_slots,
                 .m_incarnation = aMember.m_incarnation };
}

/// The split of a service without a move: all traffic goes to its first live
/// version.
VersionSplit
SteadySplit(const ServiceSpec& aService)
{
  VersionSplit split;
  if (!aService.m_liveVersions.empty()) {
    split.m_from = aService.m_liveVersions.front();
  }
  return split;
}

bool
IsServed(const VersionSplit& aSplit, const UpstreamVersion& aVersion)
{
  return aSplit.Fits(aSplit.m_from, aVersion) ||
         (aSplit.m_move && aVersion == aSplit.m_to);
}

using TargetsByService = std::map<ServiceId, std::vector<Target>>;

TargetsByService
GroupTargets(const ViewInputs& aInputs)
{
  TargetsByService groups;
  for (const auto& [vm, member] : aInputs.m_members) {
    const bool isEvacuated = aInputs.m_evacuated != nullptr &&
                             aInputs.m_evacuated->contains(member.m_dataCentre);
    if (isEvacuated || !MayReceiveCalls(member)) {
      continue;
    }
    groups[member.m_upstream.m_service].push_back(TargetOf(member));
  }
  return groups;
}

std::shared_ptr<const KeyPlacement>
PlaceKeys(const View* aPrevious,
          const ServiceId& aService,
          std::vector<Target> aTargets)
{
  if (aPrevious != nullptr) {
    const auto previous = aPrevious->m_services.find(aService);
    if (previous != aPrevious->m_services.end() &&
        previous->second.m_keys != nullptr &&
        previous->second.m_keys->IsFor(aTargets)) {
      return previous->second.m_keys;
    }
  }
  const auto keys = KeyPlacement::Create(std::move(aTargets));
  return keys ? keys.value() : nullptr;
}

ServiceView
BuildService(const SubsetSettings& aSubset,
             const ServiceSpec& aSpec,
             VersionSplit aSplit,
             const std::vector<Target>& aTargets,
             const View* aPrevious)
{
  ServiceView service;
  service.m_id = aSpec.m_id;
  service.m_split = std::move(aSplit);
  std::vector<Target> served;
  std::copy_if(aTargets.begin(),
               aTargets.end(),
               std::back_inserter(served),
               [&](const Target& aTarget) {
                 return IsServed(service.m_split, aTarget.m_version);
               });
  service.m_targets = SelectSubset(aSubset, served);
  service.m_keys = PlaceKeys(aPrevious, aSpec.m_id, std::move(served));
  return service;
}

/// Nodes that take part in one role, and how many of them a view names.
constexpr std::size_t kRankedPeers = 3;

std::vector<AccountPeer>
RankPeers(std::string_view aPurpose,
          const std::map<VmId, MemberRecord>& aMembers,
          const std::function<bool(const MemberRecord&)>& aTakesPart,
          std::size_t aCount)
{
  std::vector<VmId> candidates;
  for (const auto& [vm, member] : aMembers) {
    if (member.m_state != NodeState::Dead && aTakesPart(member)) {
      candidates.push_back(vm);
    }
  }
  std::vector<AccountPeer> peers;
  for (const VmId& vm : TopRanked(aPurpose, candidates, aCount)) {
    peers.push_back({ vm, aMembers.at(vm).m_peerAddress });
  }
  return peers;
}

std::shared_ptr<const AccountsView>
BuildAccounts(const MemberRecord& aSelf, const ViewInputs& aInputs)
{
  const auto found =
    std::find_if(aInputs.m_configurations.begin(),
                 aInputs.m_configurations.end(),
                 [](const auto& aEntry) { return !aEntry->m_callers.empty(); });
  if (found == aInputs.m_configurations.end()) {
    return nullptr;
  }
  const Configuration& configuration = **found;
  auto view = std::make_shared<AccountsView>();
  view->m_owner = configuration.m_account;
  view->m_revision = aInputs.m_revisionOf
                       ? aInputs.m_revisionOf(configuration.m_account)
                       : configuration.m_version;
  view->m_rates = RatesOf(configuration);
  view->m_knownNodes =
    std::max(aInputs.m_members.size(), aInputs.m_registeredNodes);
  std::set<DataCentreId> dataCentres{ aSelf.m_dataCentre };
  for (const auto& [vm, member] : aInputs.m_members) {
    dataCentres.insert(member.m_dataCentre);
  }
  view->m_dataCentres = dataCentres.size();
  for (const DataCentreId& dataCentre : dataCentres) {
    const bool isOwn = dataCentre == aSelf.m_dataCentre;
    auto peers = RankPeers(
      "accounts",
      aInputs.m_members,
      [&](const MemberRecord& aMember) {
        return aMember.m_dataCentre == dataCentre;
      },
      isOwn ? kRankedPeers : 1);
    auto& list = isOwn ? view->m_coordinators : view->m_otherCoordinators;
    std::move(peers.begin(), peers.end(), std::back_inserter(list));
  }
  // Ranked as Membership ranks the relays, which read the store's revision.
  view->m_readers = RankPeers(
    "relays",
    aInputs.m_members,
    [&](const MemberRecord& aMember) { return aMember.m_cell == aSelf.m_cell; },
    kRankedPeers);
  return view;
}

} // namespace

std::shared_ptr<const View>
BuildView(const MemberRecord& aSelf, const ViewInputs& aInputs)
{
  const SubsetSettings subset{ .m_node = aSelf.m_vm,
                               .m_dataCentre = aSelf.m_dataCentre,
                               .m_region = aSelf.m_region };
  const TargetsByService targets = GroupTargets(aInputs);
  auto view = std::make_shared<View>();
  view->m_nodes = static_cast<std::size_t>(std::count_if(
    aInputs.m_members.begin(), aInputs.m_members.end(), [](const auto& aEntry) {
      return aEntry.second.m_state != NodeState::Dead;
    }));
  view->m_accounts = BuildAccounts(aSelf, aInputs);
  for (const auto& configuration : aInputs.m_configurations) {
    view->m_configurations.emplace(configuration->m_account, configuration);
    for (const ServiceSpec& spec : configuration->m_services) {
      const auto found = targets.find(spec.m_id);
      auto split = aInputs.m_splitOf(spec.m_id);
      view->m_services.emplace(
        spec.m_id,
        BuildService(subset,
                     spec,
                     split ? std::move(*split) : SteadySplit(spec),
                     found == targets.end() ? std::vector<Target>()
                                            : found->second,
                     aInputs.m_previous));
    }
  }
  return view;
}

std::set<ServiceId>
AnnouncedServices(const std::map<VmId, MemberRecord>& aMembers)
{
  std::set<ServiceId> services;
  for (const auto& [vm, member] : aMembers) {
    if (member.m_state != NodeState::Dead &&
        member.m_upstream.m_state != UpstreamState::Absent) {
      services.insert(member.m_upstream.m_service);
    }
  }
  return services;
}

SlotCount
WarmSlots(const std::map<VmId, MemberRecord>& aMembers,
          const MovePlan& aPlan,
          const UpstreamVersion& aSide,
          const std::set<DataCentreId>& aEvacuated)
{
  SlotCount slots(0);
  for (const auto& [vm, member] : aMembers) {
    const UpstreamAnnouncement& upstream = member.m_upstream;
    if (member.m_state == NodeState::Alive &&
        upstream.m_state == UpstreamState::Live &&
        upstream.m_service == aPlan.m_id.m_service &&
        !aEvacuated.contains(member.m_dataCentre) &&
        MatchesVersion(aSide, aPlan.m_to, upstream.m_version)) {
      slots += upstream.m_slots;
    }
  }
  return slots;
}

} // namespace tarragontray
