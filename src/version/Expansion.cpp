#include "version/Expansion.h"

#include <algorithm>
#include <array>
#include <set>
#include <string>
#include <tuple>

#include "version/FieldRules.h"
#include "version/MovePlanRules.h"
#include "version/ParameterScope.h"

namespace tarragontray {

namespace {

constexpr std::array<std::string_view, 8> kMethods{ "",       "GET",    "HEAD",
                                                    "POST",   "PUT",    "PATCH",
                                                    "DELETE", "OPTIONS" };

/// Expands one configuration. Each step adds its errors to m_errors.
class Expander
{
public:
  Expander(const Template& aTemplate, const AccountParameters& aParameters)
    : m_template(aTemplate)
    , m_parameters(aParameters)
    , m_scope(aTemplate, aParameters, m_errors)
  {
  }

  Result<Configuration> Run(Revision aVersion)
  {
    CheckReferences();
    ExpandClasses();
    CheckTemplateServices();
    ExpandServices();
    ExpandRoutes();
    ExpandMoveLimits();
    CheckMoves();
    if (m_errors.First()) {
      return *m_errors.First();
    }
    m_result.m_version = aVersion;
    return std::move(m_result);
  }

private:
  void CheckReferences();
  void ExpandClasses();
  void CheckTemplateServices();
  void ExpandServices();
  void ExpandService(const ServiceParameters& aService,
                     const std::string& aPath);
  void CheckLiveVersions(const ServiceParameters& aService,
                         const std::string& aPath);
  void ExpandRoutes();
  RouteSpec ExpandRoute(const TemplateRoute& aRoute, const std::string& aPath);
  void CheckRouteTargets(const TemplateRoute& aRoute, const std::string& aPath);
  void ExpandMoveLimits();
  void CheckMoves();

  bool IsExposed(const ServiceId& aService) const;

  const Template& m_template;
  const AccountParameters& m_parameters;
  FieldErrors m_errors{ "configuration.expand" };
  ParameterScope m_scope;
  Configuration m_result;
};

void
Expander::CheckReferences()
{
  m_errors.CheckName("template.name", m_template.m_name.Value());
  m_errors.Check(
    m_template.m_version.Value() > 0, "template.version", "must be at least 1");
  m_errors.CheckName("parameters.account", m_parameters.m_account.Value());
  m_errors.Check(m_parameters.m_template == m_template.m_name,
                 "parameters.template",
                 "is not " + m_template.m_name.Value() +
                   ", the template being expanded");
  m_errors.Check(m_parameters.m_templateVersion == m_template.m_version,
                 "parameters.template_version",
                 "is not " + std::to_string(m_template.m_version.Value()) +
                   ", the version of the template being expanded");
  m_result.m_account = m_parameters.m_account;
  m_result.m_templateName = m_template.m_name;
  m_result.m_templateVersion = m_template.m_version;
}

void
Expander::ExpandClasses()
{
  m_errors.CheckCount(
    "template.classes", m_template.m_classes.size(), kMaxClasses);
  std::set<ClassName> names;
  std::size_t index = 0;
  for (const TemplateClass& source : m_template.m_classes) {
    const std::string path = ElementPath("template.classes", index++);
    m_errors.CheckName(path + ".name", source.m_name.Value());
    m_errors.Check(names.insert(source.m_name).second,
                   path + ".name",
                   "is used more than once");
    CallerClass& target = m_result.m_classes.emplace_back();
    target.m_name = source.m_name;
    target.m_priority = m_scope.Count(
      source.m_priority, path + ".priority", kPriorityRange, m_errors);
    target.m_weight =
      m_scope.Count(source.m_weight, path + ".weight", kWeightRange, m_errors);
  }
}

void
Expander::CheckTemplateServices()
{
  m_errors.CheckCount(
    "template.services", m_template.m_services.size(), kMaxServices);
  std::set<ServiceName> names;
  std::size_t index = 0;
  for (const TemplateService& source : m_template.m_services) {
    const std::string path = ElementPath("template.services", index++);
    m_errors.CheckName(path + ".name", source.m_name.Value());
    m_errors.Check(names.insert(source.m_name).second,
                   path + ".name",
                   "is used more than once");
    m_scope.Count(
      source.m_queueLimit, path + ".queue_limit", kQueueLimitRange, m_errors);
    m_scope.Fraction(source.m_foreignShare, path + ".foreign_share", m_errors);
  }
}

void
Expander::ExpandServices()
{
  m_errors.CheckCount(
    "parameters.services", m_parameters.m_services.size(), kMaxServices);
  std::set<ServiceName> names;
  std::size_t index = 0;
  for (const ServiceParameters& service : m_parameters.m_services) {
    const std::string path = ElementPath("parameters.services", index++);
    m_errors.CheckName(path + ".name", service.m_name.Value());
    m_errors.Check(names.insert(service.m_name).second,
                   path + ".name",
                   "is used more than once");
    ExpandService(service, path);
  }
}

void
Expander::ExpandService(const ServiceParameters& aService,
                        const std::string& aPath)
{
  const auto source =
    std::find_if(m_template.m_services.begin(),
                 m_template.m_services.end(),
                 [&](const TemplateService& aCandidate) {
                   return aCandidate.m_name == aService.m_name;
                 });
  if (source == m_template.m_services.end()) {
    m_errors.Add(aPath + ".name", "the template has no such service");
    return;
  }
  CheckLiveVersions(aService, aPath + ".live_versions");
  ServiceSpec& target = m_result.m_services.emplace_back();
  target.m_id = ServiceId{ m_parameters.m_account, aService.m_name };
  target.m_liveVersions = aService.m_liveVersions;
  target.m_lastPlan = aService.m_lastPlan;
  target.m_queueLimit = m_scope.Count(
    source->m_queueLimit, "template.services", kQueueLimitRange, m_errors);
  target.m_foreignShare =
    m_scope.Fraction(source->m_foreignShare, "template.services", m_errors);
  if (aService.m_move) {
    const MoveParameters& move = *aService.m_move;
    target.m_move = MovePlan{ MoveId{ target.m_id, move.m_plan },
                              move.m_from,
                              move.m_to,
                              move.m_start,
                              move.m_deadline,
                              move.m_hold };
    target.m_lastPlan = std::max(target.m_lastPlan, move.m_plan);
  }
}

void
Expander::CheckLiveVersions(const ServiceParameters& aService,
                            const std::string& aPath)
{
  m_errors.Check(
    !aService.m_liveVersions.empty(), aPath, "must list at least one version");
  m_errors.CheckCount(aPath, aService.m_liveVersions.size(), kMaxLiveVersions);
  std::set<UpstreamVersion> versions;
  std::size_t index = 0;
  for (const UpstreamVersion& version : aService.m_liveVersions) {
    const std::string path = ElementPath(aPath, index++);
    m_errors.CheckName(path, version.Value());
    m_errors.Check(
      versions.insert(version).second, path, "is listed more than once");
  }
}

bool
Expander::IsExposed(const ServiceId& aService) const
{
  return std::any_of(
    m_result.m_services.begin(),
    m_result.m_services.end(),
    [&](const ServiceSpec& aSpec) { return aSpec.m_id == aService; });
}

bool
IsPathPrefix(std::string_view aText)
{
  return aText.starts_with('/') && aText.size() <= kMaxTextLength &&
         std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
           return aCharacter > ' ' && aCharacter <= '~';
         });
}

bool
IsMoreSpecific(const RouteSpec& aLeft, const RouteSpec& aRight)
{
  // The longest prefix comes first, then a route with a method, then the lesser
  // name.
  const std::size_t left = aLeft.m_pathPrefix.size();
  const std::size_t right = aRight.m_pathPrefix.size();
  return std::make_tuple(right, aLeft.m_method.empty(), aLeft.m_name) <
         std::make_tuple(left, aRight.m_method.empty(), aRight.m_name);
}

void
Expander::ExpandRoutes()
{
  m_errors.CheckCount(
    "template.routes", m_template.m_routes.size(), kMaxRoutes);
  std::set<RouteName> names;
  std::set<std::pair<std::string, std::string>> matches;
  std::size_t index = 0;
  for (const TemplateRoute& source : m_template.m_routes) {
    const std::string path = ElementPath("template.routes", index++);
    m_errors.CheckName(path + ".name", source.m_name.Value());
    m_errors.Check(names.insert(source.m_name).second,
                   path + ".name",
                   "is used more than once");
    CheckRouteTargets(source, path);
    RouteSpec route = ExpandRoute(source, path);
    m_errors.Check(matches.emplace(route.m_method, route.m_pathPrefix).second,
                   path + ".path_prefix",
                   "another route has the same method and path prefix");
    const bool isForeign = route.m_service.m_owner != m_parameters.m_account;
    if (isForeign || IsExposed(route.m_service)) {
      m_result.m_routes.push_back(std::move(route));
    }
  }
  std::sort(m_result.m_routes.begin(), m_result.m_routes.end(), IsMoreSpecific);
}

void
Expander::CheckRouteTargets(const TemplateRoute& aRoute,
                            const std::string& aPath)
{
  m_errors.CheckName(aPath + ".service", aRoute.m_service.Value());
  if (!aRoute.m_owner) {
    const bool isDeclared =
      std::any_of(m_template.m_services.begin(),
                  m_template.m_services.end(),
                  [&](const TemplateService& aService) {
                    return aService.m_name == aRoute.m_service;
                  });
    m_errors.Check(
      isDeclared, aPath + ".service", "the template has no such service");
  }
  const bool isKnownMethod =
    std::find(kMethods.begin(), kMethods.end(), aRoute.m_method) !=
    kMethods.end();
  m_errors.Check(
    isKnownMethod,
    aPath + ".method",
    "is not empty, GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS");
}

RouteSpec
Expander::ExpandRoute(const TemplateRoute& aRoute, const std::string& aPath)
{
  RouteSpec route;
  route.m_name = aRoute.m_name;
  route.m_service = ServiceId{ m_parameters.m_account, aRoute.m_service };
  if (aRoute.m_owner) {
    route.m_service.m_owner =
      m_scope.TextOf(*aRoute.m_owner, aPath + ".owner", m_errors);
    m_errors.CheckName(aPath + ".owner", route.m_service.m_owner.Value());
  }
  route.m_method = aRoute.m_method;
  route.m_pathPrefix =
    m_scope.TextOf(aRoute.m_pathPrefix, aPath + ".path_prefix", m_errors);
  m_errors.Check(IsPathPrefix(route.m_pathPrefix),
                 aPath + ".path_prefix",
                 "must start with '/' and have at most 256 printable ASCII "
                 "characters other than space");
  route.m_class = m_scope.TextOf(aRoute.m_class, aPath + ".class", m_errors);
  const bool hasClass = std::any_of(m_template.m_classes.begin(),
                                    m_template.m_classes.end(),
                                    [&](const TemplateClass& aClass) {
                                      return aClass.m_name == route.m_class;
                                    });
  m_errors.Check(hasClass, aPath + ".class", "the template has no such class");
  route.m_idempotent =
    m_scope.Flag(aRoute.m_idempotent, aPath + ".idempotent", m_errors);
  route.m_timeout = m_scope.Time(
    aRoute.m_timeout, aPath + ".timeout_ms", kTimeoutRangeMs, m_errors);
  route.m_maxAttempts = m_scope.Count(
    aRoute.m_maxAttempts, aPath + ".max_attempts", kMaxAttemptsRange, m_errors);
  return route;
}

void
Expander::ExpandMoveLimits()
{
  const TemplateMoveLimits& source = m_template.m_moveLimits;
  MoveLimits& target = m_result.m_moveLimits;
  target.m_minRamp = m_scope.Time(
    source.m_minRamp, "template.moves.min_ramp_ms", kMinRampRangeMs, m_errors);
  target.m_minHold = m_scope.Time(
    source.m_minHold, "template.moves.min_hold_ms", kHoldRangeMs, m_errors);
  target.m_maxDuration = m_scope.Time(source.m_maxDuration,
                                      "template.moves.max_duration_ms",
                                      kMaxDurationRangeMs,
                                      m_errors);
  m_errors.Check(target.m_maxDuration >= target.m_minRamp + target.m_minHold,
                 "template.moves.max_duration_ms",
                 "is below the sum of min_ramp_ms and min_hold_ms");
}

void
Expander::CheckMoves()
{
  for (const ServiceSpec& service : m_result.m_services) {
    if (!service.m_move) {
      continue;
    }
    // m_services has the order of the parameters' services, so indices agree.
    const auto index =
      static_cast<std::size_t>(&service - m_result.m_services.data());
    CheckMovePlan(*service.m_move,
                  service,
                  m_result.m_moveLimits,
                  ElementPath("parameters.services", index) + ".move",
                  m_errors);
  }
}

} // namespace

Result<Configuration>
ExpandTemplate(const Template& aTemplate,
               const AccountParameters& aParameters,
               Revision aVersion)
{
  return Expander(aTemplate, aParameters).Run(aVersion);
}

} // namespace tarragontray
