// Tests that key placements are reused from the previous view only while they
// are valid, and that evacuated data centres receive no calls.
#include "process/ViewBuilder.h"

#include <criterion/criterion.h>

#include "request/Subset.h"

namespace tarragontray {

namespace {

const ClientAccountId kAccount("mesqel-gate");
const ServiceId kBoxOffice{ kAccount, ServiceName("box-office") };
const ServiceId kCatalogue{ kAccount, ServiceName("catalogue") };
const UpstreamVersion kVersion("v1");

MemberRecord
Member(const std::string& aVm, const ServiceId& aService)
{
  MemberRecord record;
  record.m_vm = VmId(aVm);
  record.m_dataCentre = DataCentreId("addis-1");
  record.m_incarnation = Incarnation(1);
  record.m_upstream = {
    aService, kVersion, UpstreamState::Live, SlotCount(12)
  };
  return record;
}

std::map<VmId, MemberRecord>
Members()
{
  std::map<VmId, MemberRecord> members;
  members[VmId("a")] = Member("a", kBoxOffice);
  members[VmId("b")] = Member("b", kBoxOffice);
  members[VmId("c")] = Member("c", kCatalogue);
  return members;
}

std::shared_ptr<const View>
Build(const std::map<VmId, MemberRecord>& aMembers,
      const View* aPrevious,
      const std::set<DataCentreId>* aEvacuated = nullptr)
{
  Configuration configuration;
  configuration.m_account = kAccount;
  for (const ServiceId& id : { kBoxOffice, kCatalogue }) {
    ServiceSpec service;
    service.m_id = id;
    service.m_liveVersions = { kVersion };
    configuration.m_services.push_back(std::move(service));
  }
  const std::vector<std::shared_ptr<const Configuration>> configurations = {
    std::make_shared<const Configuration>(std::move(configuration))
  };
  const auto noMove = [](const ServiceId&) {
    return std::optional<VersionSplit>();
  };
  return BuildView(
    aMembers.at(VmId("a")),
    ViewInputs{ aMembers, configurations, noMove, aPrevious, aEvacuated });
}

const KeyPlacement*
Keys(const View& aView, const ServiceId& aService)
{
  return aView.m_services.at(aService).m_keys.get();
}

} // namespace

Test(ViewBuilder, ReusesKeyPlacementsWhileTargetsAreUnchanged)
{
  const auto members = Members();
  const auto previous = Build(members, nullptr);
  const auto view = Build(members, previous.get());
  cr_assert(Keys(*view, kBoxOffice) == Keys(*previous, kBoxOffice));
  cr_assert(Keys(*view, kCatalogue) == Keys(*previous, kCatalogue));
}

Test(ViewBuilder, RebuildsTheKeyPlacementOfAChangedService)
{
  const auto members = Members();
  const auto previous = Build(members, nullptr);
  // Each change invalidates the previous placement of box-office.
  const std::function<void(std::map<VmId, MemberRecord>&)> changes[] = {
    [](auto& aMembers) { aMembers.erase(VmId("b")); },
    [](auto& aMembers) { aMembers[VmId("d")] = Member("d", kBoxOffice); },
    [](auto& aMembers) {
      aMembers.at(VmId("b")).m_incarnation = Incarnation(2);
    },
    [](auto& aMembers) {
      aMembers.at(VmId("b")).m_peerAddress = NetworkAddress(1, 2);
    },
    [](auto& aMembers) {
      aMembers.at(VmId("b")).m_upstream.m_state = UpstreamState::Starting;
    }
  };
  for (const auto& change : changes) {
    auto changed = members;
    change(changed);
    const auto view = Build(changed, previous.get());
    cr_assert(Keys(*view, kBoxOffice) != Keys(*previous, kBoxOffice));
    cr_assert(Keys(*view, kCatalogue) == Keys(*previous, kCatalogue));
  }
}

/// A call, or a repeat of a caller's key, goes to an upstream that must not
/// receive any, or to none although there are others.
Test(ViewBuilder, SendsCallsToAnEvacuatedDataCentre)
{
  auto members = Members();
  members.at(VmId("b")).m_dataCentre = DataCentreId("addis-2");
  const std::set evacuated{ DataCentreId("addis-1") };
  const auto view = Build(members, nullptr, &evacuated);
  const ServiceView& boxOffice = view->m_services.at(kBoxOffice);
  cr_assert_eq(boxOffice.m_targets.size(), 1);
  cr_assert(boxOffice.m_targets[0].m_vm == VmId("b"));
  const OperationId operation("purchase-1");
  cr_assert(Keys(*view, kBoxOffice)->Home(operation, kVersion)->m_vm ==
            VmId("b"));
  cr_assert(view->m_services.at(kCatalogue).m_targets.empty());
  cr_assert_eq(view->m_nodes, 3);
  MovePlan plan;
  plan.m_id.m_service = kBoxOffice;
  plan.m_to = kVersion;
  cr_assert(WarmSlots(members, plan, kVersion, evacuated) == SlotCount(12));
}

Test(ViewBuilder, AReusedPlacementMatchesANewOne)
{
  const auto members = Members();
  const auto previous = Build(members, nullptr);
  const auto kept = Build(members, previous.get());
  const auto fresh = Build(members, nullptr);
  for (int number = 0; number < 100; ++number) {
    const OperationId operation("purchase-" + std::to_string(number));
    cr_assert(Keys(*kept, kBoxOffice)->Home(operation, kVersion)->m_vm ==
              Keys(*fresh, kBoxOffice)->Home(operation, kVersion)->m_vm);
  }
}

// Nodes must agree on the coordinators, and a share must not grow when others
// die: dead nodes that are remembered still count.
Test(ViewBuilder, NamesTheCoordinatorsOfEachDataCentreAndCountsAllNodes)
{
  std::map<VmId, MemberRecord> members;
  for (const char* vm : { "a", "b", "c", "d", "e", "f" }) {
    members[VmId(vm)] = Member(vm, kBoxOffice);
  }
  members[VmId("e")].m_dataCentre = DataCentreId("addis-2");
  members[VmId("f")].m_dataCentre = DataCentreId("addis-2");
  members[VmId("f")].m_state = NodeState::Dead;
  Configuration configuration;
  configuration.m_account = kAccount;
  configuration.m_version = Revision(3);
  std::vector<std::shared_ptr<const Configuration>> configurations = {
    std::make_shared<const Configuration>(configuration)
  };
  const auto noMove = [](const ServiceId&) {
    return std::optional<VersionSplit>();
  };
  const auto build = [&](const char* aVm) {
    return BuildView(members.at(VmId(aVm)),
                     ViewInputs{ members, configurations, noMove, nullptr });
  };
  cr_assert(build("a")->m_accounts == nullptr);
  CallerAccount& account = configuration.m_callers.emplace_back();
  account.m_id = ClientAccountId("north");
  account.m_rate = AccountRate{ CallRate(5), CallCount(1) };
  configurations = { std::make_shared<const Configuration>(configuration) };
  const auto first = build("a")->m_accounts;
  const auto second = build("b")->m_accounts;
  const auto other = build("e")->m_accounts;
  cr_assert(first && second && other);
  cr_assert_eq(first->m_coordinators.size(), 3U);
  cr_assert(first->m_coordinators[0].m_vm == second->m_coordinators[0].m_vm);
  cr_assert(other->m_coordinators.size() == 1U &&
            other->m_coordinators[0].m_vm == VmId("e"));
  cr_assert(first->m_otherCoordinators.size() == 1U &&
            first->m_otherCoordinators[0].m_vm == VmId("e"));
  cr_assert(other->m_otherCoordinators[0].m_vm ==
            first->m_coordinators[0].m_vm);
  cr_assert_eq(first->m_knownNodes, 6U);
  cr_assert_eq(first->m_dataCentres, 2U);
  cr_assert(first->m_revision == Revision(3) && first->m_rates.size() == 1U);
}

} // namespace tarragontray
