#include "version/JsonDifference.h"

#include <map>
#include <optional>

#include <boost/json.hpp>

#include "version/ConfigurationJson.h"
#include "version/JsonObject.h"

namespace tarragontray {

namespace json = boost::json;

namespace {

/// JSON text of each scalar, by path.
using Leaves = std::map<std::string, std::string>;

std::string
JoinPath(const std::string& aPath, std::string_view aName)
{
  return aPath.empty() ? std::string(aName) : aPath + "." + std::string(aName);
}

/// The element's name, or its index when it has none.
std::string
ElementLabel(const json::value& aElement, std::size_t aIndex)
{
  const json::object* object = aElement.if_object();
  const json::value* name = object ? object->if_contains("name") : nullptr;
  return name && name->is_string() ? std::string(name->get_string())
                                   : std::to_string(aIndex);
}

void
Flatten(const json::value& aValue, const std::string& aPath, Leaves& aLeaves)
{
  if (const json::object* object = aValue.if_object()) {
    for (const json::key_value_pair& entry : *object) {
      Flatten(entry.value(), JoinPath(aPath, entry.key()), aLeaves);
    }
    return;
  }
  if (const json::array* list = aValue.if_array()) {
    for (std::size_t i = 0; i < list->size(); ++i) {
      const json::value& element = (*list)[i];
      Flatten(element, aPath + "[" + ElementLabel(element, i) + "]", aLeaves);
    }
    return;
  }
  aLeaves[aPath] = json::serialize(aValue);
}

Result<Leaves>
FlattenJson(std::string_view aText)
{
  Leaves leaves;
  const std::optional<Error> parseError = ParseJson(
    aText, kMaxTemplateBytes, "configuration.compare", [&](const auto& aRoot) {
      Flatten(aRoot, "", leaves);
    });
  if (parseError) {
    return *parseError;
  }
  return leaves;
}

} // namespace

Result<std::vector<FieldDifference>>
CompareJson(std::string_view aBefore, std::string_view aAfter)
{
  BOOST_OUTCOME_TRY(const Leaves before, FlattenJson(aBefore));
  BOOST_OUTCOME_TRY(const Leaves after, FlattenJson(aAfter));
  std::map<std::string, FieldDifference> differences;
  for (const auto& [path, value] : before) {
    differences[path] = { path, value, "" };
  }
  for (const auto& [path, value] : after) {
    FieldDifference& difference = differences[path];
    difference.m_path = path;
    difference.m_after = value;
  }
  std::vector<FieldDifference> result;
  for (auto& [path, difference] : differences) {
    if (difference.m_before != difference.m_after) {
      result.push_back(std::move(difference));
    }
  }
  return result;
}

} // namespace tarragontray
