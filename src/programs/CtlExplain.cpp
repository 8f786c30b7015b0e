#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "programs/CtlChange.h"
#include "programs/CtlCommand.h"
#include "programs/CtlFormat.h"
#include "programs/CtlMoveView.h"
#include "programs/CtlNodeStatus.h"

namespace tarragontray {

namespace json = boost::json;

namespace {

Result<RouteSpec>
FindRouteByName(const Configuration& aConfiguration, const RouteName& aName)
{
  const auto& routes = aConfiguration.m_routes;
  const auto found =
    std::find_if(routes.begin(), routes.end(), [&](const RouteSpec& aRoute) {
      return aRoute.m_name == aName;
    });
  if (found == routes.end()) {
    return Error(ErrorCode::NotFound,
                 "route.explain",
                 "",
                 "version " + std::to_string(aConfiguration.m_version.Value()) +
                   " of " + aConfiguration.m_account.Value() +
                   " has no route " + aName.Value());
  }
  return *found;
}

std::string
DescribeRoute(const RouteSpec& aRoute)
{
  const auto timeout =
    std::chrono::duration_cast<std::chrono::milliseconds>(aRoute.m_timeout);
  return "route " + aRoute.m_name.Value() + ": " +
         (aRoute.m_method.empty() ? "any method" : aRoute.m_method) + " " +
         aRoute.m_pathPrefix + "* -> " + aRoute.m_service.m_owner.Value() +
         "/" + aRoute.m_service.m_name.Value() + ", class " +
         aRoute.m_class.Value() +
         (aRoute.m_idempotent ? ", idempotent" : ", not idempotent") +
         ", timeout " + std::to_string(timeout.count()) + " ms, at most " +
         std::to_string(aRoute.m_maxAttempts) + " attempts\n";
}

/// How the service's traffic is divided among its versions, as text and as
/// JSON.
struct TrafficDescription
{
  std::string m_text;
  json::object m_json;
};

Result<TrafficDescription>
DescribeTrafficWithoutMove(const CurrentConfiguration& aOwner,
                           const ServiceId& aService)
{
  for (const ServiceSpec& service : aOwner.m_configuration.m_services) {
    if (service.m_id == aService) {
      const std::string version = service.m_liveVersions.front().Value();
      return TrafficDescription{
        "all traffic goes to " + version +
          ", the first live version; no move is planned\n",
        { { "version", version }, { "move", nullptr } }
      };
    }
  }
  return Error(ErrorCode::NotFound,
               "route.explain",
               "",
               aService.m_owner.Value() + " does not expose " +
                 aService.m_name.Value());
}

Result<TrafficDescription>
DescribeTraffic(CtlSession& aSession, const ServiceId& aService)
{
  BOOST_OUTCOME_TRY(const CurrentConfiguration owner,
                    ReadConfiguration(aSession, aService.m_owner));
  const auto& services = owner.m_configuration.m_services;
  const bool isMoving = std::any_of(
    services.begin(), services.end(), [&](const ServiceSpec& aSpec) {
      return aSpec.m_id == aService && aSpec.m_move;
    });
  if (!isMoving) {
    return DescribeTrafficWithoutMove(owner, aService);
  }
  BOOST_OUTCOME_TRY(const MoveView move, ReadMove(aSession, aService));
  return TrafficDescription{
    "traffic is split by a move; the shares are those of " + move.m_to.Value() +
      ":\n  " + TextOf(move) + "\n",
    { { "move", json::parse(JsonOf(move)) } }
  };
}

class Explain final : public CtlCommand
{
public:
  std::string_view Name() const override { return "explain"; }
  std::string_view Arguments() const override { return "ACCOUNT ROUTE"; }
  std::string_view Summary() const override
  {
    return "Says which upstream version a route's calls get, which share, and "
           "why (--node for shares and versions in force).";
  }

  Result<CtlOutput> Run(const CtlContext& aContext) const override
  {
    CtlSession& session = aContext.m_session;
    const ClientAccountId account(aContext.m_arguments[0]);
    BOOST_OUTCOME_TRY(const CurrentConfiguration current,
                      ReadConfiguration(session, account));
    BOOST_OUTCOME_TRY(const RouteSpec route,
                      FindRouteByName(current.m_configuration,
                                      RouteName(aContext.m_arguments[1])));
    BOOST_OUTCOME_TRY(TrafficDescription traffic,
                      DescribeTraffic(session, route.m_service));
    const Revision version = current.m_configuration.m_version;
    const std::vector<std::string> behind =
      NodesBehind(session, account, version);
    CtlOutput output;
    output.m_text = account.Value() + " version " +
                    std::to_string(version.Value()) + "\n" +
                    DescribeRoute(route) + traffic.m_text;
    for (const std::string& node : behind) {
      output.m_text += "not yet in force on " + node + "\n";
    }
    output.m_json = ToJson(current.m_configuration, route, traffic, behind);
    return output;
  }

private:
  /// The nodes on which the version is not in force, and those that could not
  /// be reached.
  static std::vector<std::string> NodesBehind(CtlSession& aSession,
                                              const ClientAccountId& aAccount,
                                              Revision aVersion)
  {
    std::vector<std::string> behind;
    for (const AskedNode& node : AskNodes(aSession)) {
      if (!node.m_status) {
        behind.push_back(node.m_address.ToString() + " (not reached)");
        continue;
      }
      const auto& accounts = node.m_status.value().m_accounts;
      const bool isInForce = std::any_of(
        accounts.begin(), accounts.end(), [&](const NodeAccount& aEntry) {
          return aEntry.m_account == aAccount && aEntry.m_inForce == aVersion;
        });
      if (!isInForce) {
        behind.push_back(node.m_status.value().m_vm.Value());
      }
    }
    return behind;
  }

  static std::string ToJson(const Configuration& aConfiguration,
                            const RouteSpec& aRoute,
                            const TrafficDescription& aTraffic,
                            const std::vector<std::string>& aBehind)
  {
    json::array behind;
    for (const std::string& node : aBehind) {
      behind.emplace_back(node);
    }
    const auto timeout =
      std::chrono::duration_cast<std::chrono::milliseconds>(aRoute.m_timeout);
    return json::serialize(
      json::object{ { "account", aConfiguration.m_account.Value() },
                    { "configuration", aConfiguration.m_version.Value() },
                    { "route", aRoute.m_name.Value() },
                    { "method", aRoute.m_method },
                    { "path_prefix", aRoute.m_pathPrefix },
                    { "owner", aRoute.m_service.m_owner.Value() },
                    { "service", aRoute.m_service.m_name.Value() },
                    { "class", aRoute.m_class.Value() },
                    { "idempotent", aRoute.m_idempotent },
                    { "timeout_ms", timeout.count() },
                    { "max_attempts", aRoute.m_maxAttempts },
                    { "traffic", aTraffic.m_json },
                    { "nodes_behind", std::move(behind) } });
  }
};

} // namespace

void
AddExplainCommand(CtlCommands& aCommands)
{
  aCommands.push_back(std::make_unique<Explain>());
}

} // namespace tarragontray
