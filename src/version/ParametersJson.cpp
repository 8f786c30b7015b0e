#include <utility>

#include <boost/json.hpp>

#include "base/TimeText.h"
#include "version/ConfigurationJson.h"
#include "version/JsonEncoding.h"
#include "version/JsonObject.h"

namespace tarragontray {

namespace json = boost::json;

namespace {

MoveParameters
DecodeMove(const json::value& aValue,
           const std::string& aPath,
           FieldErrors& aErrors)
{
  JsonObject object(aValue, aPath, aErrors);
  MoveParameters result;
  result.m_plan = PlanNumber(object.Number("plan"));
  result.m_from = UpstreamVersion(object.Text("from"));
  result.m_to = UpstreamVersion(object.Text("to"));
  result.m_start = object.Time("start");
  result.m_deadline = object.Time("deadline");
  result.m_hold = object.Milliseconds("hold_ms");
  object.Finish();
  return result;
}

UpstreamVersion
DecodeVersion(const json::value& aValue,
              std::string_view aPath,
              FieldErrors& aErrors)
{
  const json::string* text = aValue.if_string();
  aErrors.Check(text != nullptr, aPath, "is not text");
  return text ? UpstreamVersion(std::string(*text)) : UpstreamVersion();
}

ServiceParameters
DecodeService(const json::value& aValue,
              const std::string& aPath,
              FieldErrors& aErrors)
{
  JsonObject object(aValue, aPath, aErrors);
  ServiceParameters result;
  result.m_name = ServiceName(object.Text("name"));
  object.Each(
    "live_versions", [&](const json::value& aItem, const std::string& aAt) {
      result.m_liveVersions.push_back(DecodeVersion(aItem, aAt, aErrors));
    });
  if (object.Find("last_plan")) {
    result.m_lastPlan = PlanNumber(object.Number("last_plan"));
  }
  if (const json::value* move = object.Find("move")) {
    result.m_move = DecodeMove(*move, object.Path("move"), aErrors);
  }
  object.Finish();
  return result;
}

AccountParameters
DecodeWhole(const json::value& aValue, FieldErrors& aErrors)
{
  JsonObject object(aValue, "parameters", aErrors);
  AccountParameters result;
  result.m_account = ClientAccountId(object.Text("account"));
  result.m_template = TemplateName(object.Text("template"));
  result.m_templateVersion = TemplateVersion(object.Number("template_version"));
  object.ForEachScalar("values",
                       [&](std::string aName, ParameterValue aScalar) {
                         result.m_values.emplace(
                           ParameterName(std::move(aName)), std::move(aScalar));
                       });
  object.Each(
    "services", [&](const json::value& aItem, const std::string& aPath) {
      result.m_services.push_back(DecodeService(aItem, aPath, aErrors));
    });
  object.Finish();
  return result;
}

json::object
EncodeMove(const MoveParameters& aMove)
{
  return { { "plan", aMove.m_plan.Value() },
           { "from", aMove.m_from.Value() },
           { "to", aMove.m_to.Value() },
           { "start", FormatWallTime(aMove.m_start) },
           { "deadline", FormatWallTime(aMove.m_deadline) },
           { "hold_ms", EncodeLiteral(aMove.m_hold) } };
}

json::object
EncodeService(const ServiceParameters& aService)
{
  json::array versions;
  for (const UpstreamVersion& version : aService.m_liveVersions) {
    versions.emplace_back(version.Value());
  }
  json::object result{ { "name", aService.m_name.Value() },
                       { "live_versions", std::move(versions) },
                       { "last_plan", aService.m_lastPlan.Value() } };
  if (aService.m_move) {
    result["move"] = EncodeMove(*aService.m_move);
  }
  return result;
}

} // namespace

Result<AccountParameters>
DecodeParameters(std::string_view aText)
{
  constexpr std::string_view kStep = "parameters.decode";
  FieldErrors errors{ std::string(kStep) };
  AccountParameters result;
  const std::optional<Error> fault =
    ParseJson(aText, kMaxParametersBytes, kStep, [&](const json::value& aRoot) {
      result = DecodeWhole(aRoot, errors);
    });
  if (fault) {
    return *fault;
  }
  if (errors.First()) {
    return *errors.First();
  }
  return result;
}

std::string
EncodeParameters(const AccountParameters& aParameters)
{
  json::object values;
  for (const auto& [name, value] : aParameters.m_values) {
    values[name.Value()] = EncodeScalar(value);
  }
  json::array services;
  for (const ServiceParameters& service : aParameters.m_services) {
    services.emplace_back(EncodeService(service));
  }
  const json::object root{ { "account", aParameters.m_account.Value() },
                           { "template", aParameters.m_template.Value() },
                           { "template_version",
                             aParameters.m_templateVersion.Value() },
                           { "values", std::move(values) },
                           { "services", std::move(services) } };
  return json::serialize(root);
}

} // namespace tarragontray
