#include "version/Expansion.h"

#include <functional>
#include <string>

#include <criterion/criterion.h>

#include "version/ConfigurationJson.h"
#include "version/ConfigurationSamples.h"
#include "version/JsonMutations.h"

namespace tarragontray {

namespace {

using std::chrono::milliseconds;

struct BadInput
{
  const char* m_path;
  std::function<void(Template&, AccountParameters&)> m_change;
};

std::string
FaultAfter(const BadInput& aInput)
{
  Template shared = SampleTemplate();
  AccountParameters parameters = SampleParameters();
  aInput.m_change(shared, parameters);
  const Result<Configuration> result =
    ExpandTemplate(shared, parameters, Revision{ 9 });
  return result ? "accepted" : result.error().Detail();
}

void
ExpectFaults(std::initializer_list<BadInput> aInputs)
{
  for (const BadInput& input : aInputs) {
    const std::string fault = FaultAfter(input);
    cr_assert(fault.starts_with(std::string(input.m_path) + ": "),
              "%s gave \"%s\"",
              input.m_path,
              fault.c_str());
  }
}

Configuration
Expanded(const AccountParameters& aParameters)
{
  return ExpandTemplate(SampleTemplate(), aParameters, Revision{ 9 }).value();
}

} // namespace

Test(Expansion, FillsEveryFieldFromLiteralsAndParameters)
{
  const Configuration configuration = Expanded(SampleParameters());
  cr_assert(configuration.m_account == ClientAccountId{ "mesqel-gate" });
  cr_assert(configuration.m_version == Revision{ 9 });
  cr_assert(configuration.m_templateName == TemplateName{ "sample" });
  cr_assert(configuration.m_templateVersion == TemplateVersion{ 3 });
  cr_assert(configuration.m_classes[1].m_weight == 3);
  const ServiceSpec& boxOffice = configuration.m_services[0];
  cr_assert(boxOffice.m_queueLimit == 32);
  cr_assert(boxOffice.m_lastPlan == PlanNumber{ 4 });
  cr_assert(boxOffice.m_move->m_id.m_service == boxOffice.m_id);
  cr_assert(boxOffice.m_move->m_hold == milliseconds(60'000));
  const ServiceSpec& catalogue = configuration.m_services[1];
  cr_assert(catalogue.m_queueLimit == 3);
  cr_assert(catalogue.m_foreignShare == Share::FromFraction(0.4));
  cr_assert(!catalogue.m_move);
  const RouteSpec* seatMap = FindRoute(configuration, "GET", "/seat-map/7");
  cr_assert(seatMap != nullptr);
  cr_assert(seatMap->m_class == ClassName{ "fans" });
  cr_assert(seatMap->m_idempotent);
  cr_assert(seatMap->m_timeout == milliseconds(600));
  cr_assert(seatMap->m_maxAttempts == 3);
}

Test(Expansion, IsDeterministic)
{
  cr_assert(Expanded(SampleParameters()) == Expanded(SampleParameters()));
}

Test(Expansion, DefaultsStandInForAbsentValues)
{
  AccountParameters parameters = SampleParameters();
  parameters.m_values.clear();
  parameters.m_values[ParameterName{ "buyers" }] = std::string("fans");
  const Configuration configuration = Expanded(parameters);
  const RouteSpec* seatMap = FindRoute(configuration, "GET", "/seats");
  cr_assert(seatMap != nullptr);
  cr_assert(seatMap->m_timeout == milliseconds(800));
}

Test(Expansion, RoutesOfServicesNotExposedAreLeftOut)
{
  AccountParameters parameters = SampleParameters();
  parameters.m_services.resize(1);
  const Configuration configuration = Expanded(parameters);
  cr_assert(FindRoute(configuration, "GET", "/catalogue/1") == nullptr);
  const RouteSpec* booths = FindRoute(configuration, "GET", "/booths");
  cr_assert(booths->m_service.m_owner == ClientAccountId{ "vanua-voice" });
}

Test(Expansion, LongestPrefixComesFirst)
{
  Template shared = SampleTemplate();
  shared.m_routes[1].m_pathPrefix = std::string("/");
  const Configuration configuration =
    ExpandTemplate(shared, SampleParameters(), Revision{ 1 }).value();
  cr_assert(configuration.m_routes.back().m_name == RouteName{ "purchase" });
}

Test(Expansion, RefusesBadDeclarationsAndValues)
{
  using T = Template;
  using P = AccountParameters;
  ExpectFaults({
    { "template.parameters[1].name",
      [](T& aT, P&) { aT.m_parameters[1].m_name = ParameterName{ "wait" }; } },
    { "template.parameters[0].name",
      [](T& aT, P&) { aT.m_parameters[0].m_name = ParameterName{ "A b" }; } },
    { "template.parameters[0].min",
      [](T& aT, P&) { aT.m_parameters[0].m_minimum = true; } },
    { "template.parameters[0].max",
      [](T& aT, P&) { aT.m_parameters[0].m_maximum = std::int64_t{ 1 }; } },
    { "template.parameters[0].default",
      [](T& aT, P&) { aT.m_parameters[0].m_default = std::int64_t{ 9'999 }; } },
    { "template.parameters[3].min",
      [](T& aT, P&) { aT.m_parameters[3].m_minimum = std::string("a"); } },
    { "parameters.values.wait",
      [](T&, P& aP) { aP.m_values[ParameterName{ "wait" }] = 0.5; } },
    { "parameters.values.tries",
      [](T&, P& aP) {
        aP.m_values[ParameterName{ "tries" }] = std::int64_t{ 5 };
      } },
    { "parameters.values.guests",
      [](T&, P& aP) { aP.m_values[ParameterName{ "guests" }] = 0.05; } },
    { "parameters.values.buyers",
      [](T&, P& aP) { aP.m_values.erase(ParameterName{ "buyers" }); } },
    { "parameters.values.other",
      [](T&, P& aP) { aP.m_values[ParameterName{ "other" }] = true; } },
    { "template.routes[0].timeout_ms",
      [](T& aT, P&) { aT.m_routes[0].m_timeout = ParameterName{ "tries" }; } },
    { "template.routes[0].timeout_ms",
      [](T& aT, P&) { aT.m_routes[0].m_timeout = ParameterName{ "gone" }; } },
  });
}

Test(Expansion, RefusesBadReferences)
{
  using T = Template;
  using P = AccountParameters;
  ExpectFaults({
    { "template.name", [](T& aT, P&) { aT.m_name = TemplateName{ "a/b" }; } },
    { "template.version",
      [](T& aT, P&) { aT.m_version = TemplateVersion{ 0 }; } },
    { "parameters.account",
      [](T&, P& aP) { aP.m_account = ClientAccountId{ "" }; } },
    { "parameters.template",
      [](T&, P& aP) { aP.m_template = TemplateName{ "another" }; } },
    { "parameters.template_version",
      [](T&, P& aP) { aP.m_templateVersion = TemplateVersion{ 4 }; } },
    { "template.routes[0].service",
      [](T& aT, P&) { aT.m_routes[0].m_service = ServiceName{ "gone" }; } },
    { "template.routes[0].class",
      [](T&, P& aP) {
        aP.m_values[ParameterName{ "buyers" }] = std::string("touts");
      } },
    { "template.routes[3].owner",
      [](T& aT, P&) { aT.m_routes[3].m_owner = ClientAccountId{ "V V" }; } },
    { "parameters.services[1].name",
      [](T&, P& aP) { aP.m_services[1].m_name = ServiceName{ "gone" }; } },
    { "parameters.services[1].name",
      [](T&, P& aP) {
        aP.m_services[1].m_name = ServiceName{ "box-office" };
      } },
  });
}

Test(Expansion, RefusesValuesOutsideTheirBounds)
{
  using T = Template;
  using P = AccountParameters;
  const auto kNine = std::uint8_t{ 9 };
  ExpectFaults({
    { "template.classes[0].priority",
      [&](T& aT, P&) { aT.m_classes[0].m_priority = kNine; } },
    { "template.classes[0].weight",
      [](T& aT, P&) { aT.m_classes[0].m_weight = 0U; } },
    { "template.classes[1].name",
      [](T& aT, P&) { aT.m_classes[1].m_name = ClassName{ "fans" }; } },
    { "template.services[0].queue_limit",
      [](T& aT, P&) { aT.m_services[0].m_queueLimit = 5'000U; } },
    { "template.services[1].name",
      [](T& aT, P&) {
        aT.m_services[1].m_name = ServiceName{ "box-office" };
      } },
    { "template.routes[1].method",
      [](T& aT, P&) { aT.m_routes[1].m_method = "BUY"; } },
    { "template.routes[1].path_prefix",
      [](T& aT, P&) { aT.m_routes[1].m_pathPrefix = std::string("x"); } },
    { "template.routes[2].path_prefix",
      [](T& aT, P&) {
        aT.m_routes[2].m_pathPrefix = std::string("/seat-map");
      } },
    { "template.routes[1].timeout_ms",
      [](T& aT, P&) { aT.m_routes[1].m_timeout = Duration(0); } },
    { "template.routes[1].max_attempts",
      [](T& aT, P&) { aT.m_routes[1].m_maxAttempts = std::uint8_t{ 0 }; } },
    { "template.routes[1].name",
      [](T& aT, P&) { aT.m_routes[1].m_name = RouteName{ "seat-map" }; } },
    { "template.moves.min_ramp_ms",
      [](T& aT, P&) { aT.m_moveLimits.m_minRamp = milliseconds(1); } },
    { "template.moves.max_duration_ms",
      [](T& aT, P&) { aT.m_moveLimits.m_maxDuration = milliseconds(14'999); } },
    { "template.routes",
      [](T& aT, P&) { aT.m_routes.resize(kMaxRoutes + 1); } },
  });
}

Test(Expansion, RefusesBadMoves)
{
  using T = Template;
  using P = AccountParameters;
  const auto move = [](P& aP) -> MoveParameters& {
    return *aP.m_services[0].m_move;
  };
  ExpectFaults({
    { "parameters.services[0].live_versions",
      [](T&, P& aP) { aP.m_services[0].m_liveVersions.clear(); } },
    { "parameters.services[0].live_versions[1]",
      [](T&, P& aP) {
        aP.m_services[0].m_liveVersions[1] = UpstreamVersion{ "v1" };
      } },
    { "parameters.services[0].move.plan",
      [&](T&, P& aP) { move(aP).m_plan = PlanNumber{ 3 }; } },
    { "parameters.services[0].move.from",
      [&](T&, P& aP) { move(aP).m_from = UpstreamVersion{ "v0" }; } },
    { "parameters.services[0].move.to",
      [&](T&, P& aP) { move(aP).m_to = UpstreamVersion{ "v3" }; } },
    { "parameters.services[0].move.to",
      [&](T&, P& aP) { move(aP).m_to = UpstreamVersion{ "v1" }; } },
    { "parameters.services[0].move.hold_ms",
      [&](T&, P& aP) { move(aP).m_hold = milliseconds(4'999); } },
    { "parameters.services[0].move.start",
      [&](T&, P& aP) { move(aP).m_start = WallTime::min(); } },
    { "parameters.services[0].move.deadline",
      [&](T&, P& aP) { move(aP).m_deadline = move(aP).m_start; } },
    { "parameters.services[0].move.deadline",
      [&](T&, P& aP) {
        move(aP).m_deadline = move(aP).m_start + milliseconds(69'999);
      } },
    { "parameters.services[0].move.deadline",
      [&](T&, P& aP) { move(aP).m_deadline = WallTime::max(); } },
  });
}

Test(Expansion, AnyValueAnywhereGivesAWholeResultOrAnError)
{
  std::size_t refused = 0;
  std::size_t accepted = 0;
  const auto count = [&](const Result<Template>& aTemplate,
                         const Result<AccountParameters>& aParameters) {
    if (!aTemplate || !aParameters) {
      ++refused;
      return;
    }
    const Result<Configuration> result =
      ExpandTemplate(aTemplate.value(), aParameters.value(), Revision{ 2 });
    result ? ++accepted : ++refused;
  };
  for (const auto& mutation :
       ReplacementMutations(SampleTemplateText(), "template")) {
    count(DecodeTemplate(mutation.m_text), SampleParameters());
  }
  for (const auto& mutation :
       ReplacementMutations(SampleParametersText(), "parameters")) {
    count(SampleTemplate(), DecodeParameters(mutation.m_text));
  }
  cr_assert(refused > 1'000 && accepted > 10, "%zu %zu", refused, accepted);
}

} // namespace tarragontray
