#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>
#include <string>

#include <boost/json.hpp>
#include <criterion/criterion.h>

#include "version/ConfigurationJson.h"
#include "version/Expansion.h"

namespace tarragontray {

namespace {

namespace json = boost::json;

std::string
ReadExample(const std::string& aName)
{
  const std::string path =
    std::string(std::getenv("TT_EXAMPLES_DIR")) + "/" + aName;
  std::ifstream file(path);
  cr_assert(file.good(), "cannot read %s", path.c_str());
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

Configuration
Expanded(const std::string& aTemplate, const std::string& aParameters)
{
  const Result<Template> shared = DecodeTemplate(ReadExample(aTemplate));
  cr_assert(shared.has_value(), "%s", shared.error().Message().c_str());
  const Result<AccountParameters> parameters =
    DecodeParameters(ReadExample(aParameters));
  cr_assert(parameters.has_value(), "%s", parameters.error().Message().c_str());
  const Result<Configuration> configuration =
    ExpandTemplate(shared.value(), parameters.value(), Revision{ 1 });
  cr_assert(
    configuration.has_value(), "%s", configuration.error().Message().c_str());
  return configuration.value();
}

/// The number of targets of each service, summed over the data centres of a
/// deployment.
std::map<std::string, std::int64_t>
TargetsOf(const json::value& aDeployment)
{
  std::map<std::string, std::int64_t> targets;
  for (const json::value& dataCentre :
       aDeployment.at("data_centres").as_array()) {
    for (const auto& entry : dataCentre.at("targets").as_object()) {
      targets[std::string(entry.key())] += entry.value().as_int64();
    }
  }
  return targets;
}

void
CheckDeployment(const std::string& aAccount,
                const std::map<std::string, std::int64_t>& aTargets)
{
  const json::value deployment =
    json::parse(ReadExample(aAccount + ".deployment.json"));
  cr_assert(deployment.at("account").as_string() == aAccount.c_str());
  cr_assert(deployment.at("data_centres").as_array().size() == 4);
  cr_assert(TargetsOf(deployment) == aTargets);
  const Configuration configuration =
    Expanded(std::string(deployment.at("template").as_string()),
             std::string(deployment.at("parameters").as_string()));
  cr_assert(configuration.m_account == ClientAccountId(aAccount));
  cr_assert(configuration.m_services.size() == aTargets.size());
  for (const ServiceSpec& service : configuration.m_services) {
    cr_assert(aTargets.contains(service.m_id.m_name.Value()));
  }
}

const RouteSpec&
RouteOf(const Configuration& aConfiguration,
        const char* aMethod,
        const char* aTarget)
{
  const RouteSpec* route = FindRoute(aConfiguration, aMethod, aTarget);
  cr_assert(route != nullptr, "no route for %s %s", aMethod, aTarget);
  return *route;
}

std::uint8_t
PriorityOf(const Configuration& aConfiguration, const ClassName& aName)
{
  for (const CallerClass& callers : aConfiguration.m_classes) {
    if (callers.m_name == aName) {
      return callers.m_priority;
    }
  }
  cr_assert_fail("no class %s", aName.Value().c_str());
  return 0;
}

} // namespace

Test(Examples, MesqelGateExpands)
{
  CheckDeployment("mesqel-gate", { { "box-office", 6 }, { "catalogue", 4 } });
  const Configuration configuration =
    Expanded("mesqel-gate.template.json", "mesqel-gate.parameters.json");
  const RouteSpec& seatMap =
    RouteOf(configuration, "GET", "/seat-maps/wassail-7");
  cr_assert(seatMap.m_idempotent);
  cr_assert(seatMap.m_class == ClassName{ "fans" });
  cr_assert(seatMap.m_timeout == std::chrono::milliseconds(600));
  const RouteSpec& purchase = RouteOf(configuration, "POST", "/purchases");
  cr_assert(!purchase.m_idempotent);
  const RouteSpec& resale =
    RouteOf(configuration, "POST", "/resellers/purchases");
  cr_assert(resale.m_class == ClassName{ "resellers" });
  const RouteSpec& lookup = RouteOf(configuration, "GET", "/catalogue/7");
  cr_assert(lookup.m_service.m_name == ServiceName{ "catalogue" });
}

Test(Examples, MesqelGateMoveExpands)
{
  const Configuration configuration =
    Expanded("mesqel-gate.template.json", "mesqel-gate-move.parameters.json");
  cr_assert(configuration.m_services[0].m_move.has_value());
}

Test(Examples, VanuaVoiceExpandsWithMembersBeforeRosterLookups)
{
  CheckDeployment("vanua-voice",
                  { { "booth-desk", 7 }, { "studio-records", 5 } });
  const Configuration configuration =
    Expanded("vanua-voice.template.json", "vanua-voice.parameters.json");
  const RouteSpec& confirm = RouteOf(configuration, "POST", "/sessions");
  cr_assert(!confirm.m_idempotent);
  const RouteSpec& roster = RouteOf(configuration, "GET", "/roster/today");
  cr_assert(PriorityOf(configuration, confirm.m_class) <
            PriorityOf(configuration, roster.m_class));
  const RouteSpec& logs = RouteOf(configuration, "GET", "/logs/42");
  cr_assert(logs.m_service.m_name == ServiceName{ "studio-records" });
}

} // namespace tarragontray
