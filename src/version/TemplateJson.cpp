#include <array>
#include <utility>

#include <boost/json.hpp>

#include "version/Configuration.h"
#include "version/ConfigurationJson.h"
#include "version/JsonEncoding.h"
#include "version/JsonObject.h"

namespace tarragontray {

namespace json = boost::json;

namespace {

constexpr std::array<ParameterType, 5> kTypes{ ParameterType::Count,
                                               ParameterType::Duration,
                                               ParameterType::Share,
                                               ParameterType::Text,
                                               ParameterType::Boolean };
constexpr std::uint32_t kDefaultWeight = 1;
constexpr std::uint32_t kDefaultQueueLimit = 64;
constexpr Share kDefaultForeignShare = Share::FromFraction(0.5);
constexpr std::uint8_t kDefaultMaxAttempts = 3;

ParameterType
DecodeType(JsonObject& aObject, FieldErrors& aErrors)
{
  const std::string text = aObject.Text("type");
  for (const ParameterType type : kTypes) {
    if (Name(type) == text) {
      return type;
    }
  }
  aErrors.Add(aObject.Path("type"),
              "is not one of count, duration, share, text, boolean");
  return ParameterType::Count;
}

ParameterDeclaration
DecodeDeclaration(const json::value& aValue,
                  const std::string& aPath,
                  FieldErrors& aErrors)
{
  JsonObject object(aValue, aPath, aErrors);
  ParameterDeclaration result;
  result.m_name = ParameterName(object.Text("name"));
  result.m_type = DecodeType(object, aErrors);
  result.m_minimum = object.Scalar("min");
  result.m_maximum = object.Scalar("max");
  result.m_default = object.Scalar("default");
  object.Finish();
  return result;
}

TemplateClass
DecodeClass(const json::value& aValue,
            const std::string& aPath,
            FieldErrors& aErrors)
{
  JsonObject object(aValue, aPath, aErrors);
  TemplateClass result;
  result.m_name = ClassName(object.Text("name"));
  result.m_priority = object.ReadField<std::uint8_t>("priority");
  result.m_weight = object.ReadField<std::uint32_t>("weight", kDefaultWeight);
  object.Finish();
  return result;
}

TemplateService
DecodeService(const json::value& aValue,
              const std::string& aPath,
              FieldErrors& aErrors)
{
  JsonObject object(aValue, aPath, aErrors);
  TemplateService result;
  result.m_name = ServiceName(object.Text("name"));
  result.m_queueLimit =
    object.ReadField<std::uint32_t>("queue_limit", kDefaultQueueLimit);
  result.m_foreignShare =
    object.ReadField<Share>("foreign_share", kDefaultForeignShare);
  object.Finish();
  return result;
}

TemplateRoute
DecodeRoute(const json::value& aValue,
            const std::string& aPath,
            FieldErrors& aErrors)
{
  JsonObject object(aValue, aPath, aErrors);
  TemplateRoute result;
  result.m_name = RouteName(object.Text("name"));
  result.m_service = ServiceName(object.Text("service"));
  if (object.Find("owner")) {
    result.m_owner = object.ReadField<ClientAccountId>("owner");
  }
  if (object.Find("method")) {
    result.m_method = object.Text("method");
  }
  result.m_pathPrefix = object.ReadField<std::string>("path_prefix");
  result.m_class = object.ReadField<ClassName>("class");
  result.m_idempotent = object.ReadField<bool>("idempotent", false);
  result.m_timeout = object.ReadField<Duration>("timeout_ms");
  result.m_maxAttempts =
    object.ReadField<std::uint8_t>("max_attempts", kDefaultMaxAttempts);
  object.Finish();
  return result;
}

TemplateMoveLimits
DecodeMoveLimits(const json::value* aValue, FieldErrors& aErrors)
{
  TemplateMoveLimits result;
  const MoveLimits defaults;
  if (!aValue) {
    return { defaults.m_minRamp, defaults.m_minHold, defaults.m_maxDuration };
  }
  JsonObject object(*aValue, "template.moves", aErrors);
  result.m_minRamp =
    object.ReadField("min_ramp_ms", std::optional(defaults.m_minRamp));
  result.m_minHold =
    object.ReadField("min_hold_ms", std::optional(defaults.m_minHold));
  result.m_maxDuration =
    object.ReadField("max_duration_ms", std::optional(defaults.m_maxDuration));
  object.Finish();
  return result;
}

Template
DecodeTemplateObject(const json::value& aValue, FieldErrors& aErrors)
{
  JsonObject object(aValue, "template", aErrors);
  Template result;
  result.m_name = TemplateName(object.Text("name"));
  result.m_version = TemplateVersion(object.Number("version"));
  object.ForEach(
    "parameters", [&](const json::value& aItem, const std::string& aPath) {
      result.m_parameters.push_back(DecodeDeclaration(aItem, aPath, aErrors));
    });
  object.ForEach(
    "classes", [&](const json::value& aItem, const std::string& aPath) {
      result.m_classes.push_back(DecodeClass(aItem, aPath, aErrors));
    });
  object.ForEach(
    "services", [&](const json::value& aItem, const std::string& aPath) {
      result.m_services.push_back(DecodeService(aItem, aPath, aErrors));
    });
  object.ForEach(
    "routes", [&](const json::value& aItem, const std::string& aPath) {
      result.m_routes.push_back(DecodeRoute(aItem, aPath, aErrors));
    });
  result.m_moveLimits = DecodeMoveLimits(object.Find("moves"), aErrors);
  object.Finish();
  return result;
}

json::object
EncodeDeclaration(const ParameterDeclaration& aDeclaration)
{
  json::object result{ { "name", aDeclaration.m_name.Value() },
                       { "type", Name(aDeclaration.m_type) } };
  if (aDeclaration.m_minimum) {
    result["min"] = EncodeScalar(*aDeclaration.m_minimum);
  }
  if (aDeclaration.m_maximum) {
    result["max"] = EncodeScalar(*aDeclaration.m_maximum);
  }
  if (aDeclaration.m_default) {
    result["default"] = EncodeScalar(*aDeclaration.m_default);
  }
  return result;
}

json::object
EncodeRoute(const TemplateRoute& aRoute)
{
  json::object result{ { "name", aRoute.m_name.Value() },
                       { "service", aRoute.m_service.Value() } };
  if (aRoute.m_owner) {
    result["owner"] = EncodeField(*aRoute.m_owner);
  }
  if (!aRoute.m_method.empty()) {
    result["method"] = aRoute.m_method;
  }
  result["path_prefix"] = EncodeField(aRoute.m_pathPrefix);
  result["class"] = EncodeField(aRoute.m_class);
  result["idempotent"] = EncodeField(aRoute.m_idempotent);
  result["timeout_ms"] = EncodeField(aRoute.m_timeout);
  result["max_attempts"] = EncodeField(aRoute.m_maxAttempts);
  return result;
}

json::object
EncodeClass(const TemplateClass& aClass)
{
  return { { "name", aClass.m_name.Value() },
           { "priority", EncodeField(aClass.m_priority) },
           { "weight", EncodeField(aClass.m_weight) } };
}

json::object
EncodeService(const TemplateService& aService)
{
  return { { "name", aService.m_name.Value() },
           { "queue_limit", EncodeField(aService.m_queueLimit) },
           { "foreign_share", EncodeField(aService.m_foreignShare) } };
}

template<typename Item, typename Encode>
json::array
EncodeList(const std::vector<Item>& aItems, Encode aEncode)
{
  json::array result;
  for (const Item& item : aItems) {
    result.push_back(aEncode(item));
  }
  return result;
}

} // namespace

Result<Template>
DecodeTemplate(std::string_view aText)
{
  FieldErrors errors("template.decode");
  Template result;
  const std::optional<Error> parseError = ParseJson(
    aText, kMaxTemplateBytes, "template.decode", [&](const json::value& aRoot) {
      result = DecodeTemplateObject(aRoot, errors);
    });
  if (parseError) {
    return *parseError;
  }
  if (errors.First()) {
    return *errors.First();
  }
  return result;
}

std::string
EncodeTemplate(const Template& aTemplate)
{
  const TemplateMoveLimits& limits = aTemplate.m_moveLimits;
  const json::object moves{ { "min_ramp_ms", EncodeField(limits.m_minRamp) },
                            { "min_hold_ms", EncodeField(limits.m_minHold) },
                            { "max_duration_ms",
                              EncodeField(limits.m_maxDuration) } };
  const json::object root{
    { "name", aTemplate.m_name.Value() },
    { "version", aTemplate.m_version.Value() },
    { "parameters", EncodeList(aTemplate.m_parameters, EncodeDeclaration) },
    { "classes", EncodeList(aTemplate.m_classes, EncodeClass) },
    { "services", EncodeList(aTemplate.m_services, EncodeService) },
    { "routes", EncodeList(aTemplate.m_routes, EncodeRoute) },
    { "moves", moves }
  };
  return json::serialize(root);
}

} // namespace tarragontray
