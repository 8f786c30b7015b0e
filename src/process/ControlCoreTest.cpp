#include "process/ControlCore.h"

#include <criterion/criterion.h>

#include "version/ObjectKeys.h"

namespace tarragontray {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ClientAccountId kAccount("a");
const ServiceId kService{ kAccount, ServiceName("box-office") };

/// Reads every configuration as one route to kService.
class OneRouteDecoder final : public ConfigurationDecoder
{
public:
  Result<Template> DecodeTemplate(std::string_view) const override
  {
    return Error(ErrorCode::InvalidArgument, "decode", "", "not supported");
  }
  Result<AccountParameters> DecodeParameters(std::string_view) const override
  {
    return Error(ErrorCode::InvalidArgument, "decode", "", "not supported");
  }
  std::optional<Result<Configuration>> DecodeConfiguration(
    const Document&) const override
  {
    Configuration configuration;
    configuration.m_account = kAccount;
    RouteSpec& route = configuration.m_routes.emplace_back();
    route.m_service = kService;
    return configuration;
  }
};

class OneNode
{
public:
  OneNode()
    : m_random(1)
  {
    ControlSettings settings;
    settings.m_self.m_vm = VmId("vm-1");
    settings.m_self.m_dataCentre = DataCentreId("dc");
    settings.m_self.m_peerAddress = NetworkAddress(0x7F000001, 7000);
    settings.m_self.m_incarnation = Incarnation(1);
    m_core = ControlCore::Create(settings, m_decoder, m_random).value();
    Tick(seconds(5));
  }

  Times Now() const { return { MonotonicTime(m_now), WallTime(m_now) }; }
  /// Ticks the node when it asks for it; returns the number of views.
  std::size_t Tick(Duration aTime)
  {
    std::size_t views = 0;
    for (const Duration end = m_now + aTime; m_now < end;
         m_now += milliseconds(1)) {
      if (m_core->NextTick() <= MonotonicTime(m_now)) {
        views += m_core->OnTick(Now()).m_view ? 1 : 0;
      }
    }
    return views;
  }
  void ReadFromPlatform()
  {
    m_core->OnListing(
      { { ConfigurationKey(kAccount), Revision(7), "{}" } },
      Revision(7),
      Now(),
      "configurations/",
      DocumentChannel::List);
  }
  UpstreamAnnouncement Announced(std::uint32_t aSlots) const
  {
    return { kService,
             UpstreamVersion("v1"),
             UpstreamState::Live,
             SlotCount(aSlots) };
  }

  OneRouteDecoder m_decoder;
  SeededRandom m_random;
  std::unique_ptr<ControlCore> m_core;
  Duration m_now = seconds(100);
};

} // namespace

/// The view for the configuration is due at once, the one for the service that
/// it waits for only later.
Test(ControlCore, ConfigurationReadTogetherWithItsServiceIsNeverInForce)
{
  OneNode node;
  node.m_core->OnUpstreamAnnouncement(node.Announced(8), node.Now());
  node.ReadFromPlatform();
  node.Tick(seconds(1));
  cr_assert(node.m_core->IsReady());
}

/// Each view costs time in proportion to the fleet, whose changes are
/// proportional to it, too.
Test(ControlCore, EveryChangeOfTheMembershipCausesAView)
{
  OneNode node;
  node.m_core->OnUpstreamAnnouncement(node.Announced(8), node.Now());
  node.ReadFromPlatform();
  node.Tick(seconds(1));
  std::size_t views = 0;
  for (std::uint32_t slots = 9; slots < 109; ++slots) {
    const ControlActions actions =
      node.m_core->OnUpstreamAnnouncement(node.Announced(slots), node.Now());
    views += (actions.m_view ? 1 : 0) + node.Tick(milliseconds(10));
  }
  cr_assert_geq(views, 4);
  cr_assert_leq(views, 6, "%zu", views);
  // A single change after that takes effect without the interval.
  node.Tick(seconds(1));
  node.m_core->OnUpstreamAnnouncement(node.Announced(8), node.Now());
  cr_assert_eq(node.Tick(milliseconds(30)), 1);
}

} // namespace tarragontray
