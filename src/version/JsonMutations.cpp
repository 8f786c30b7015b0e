#include "version/JsonMutations.h"

#include <cstdint>
#include <functional>
#include <limits>

#include <boost/json.hpp>

namespace tarragontray {

namespace json = boost::json;

namespace {

/// Calls aVisit with each place below aValue and its path.
void
Walk(json::value& aValue,
     const std::string& aPath,
     const std::function<void(json::value&, const std::string&)>& aVisit)
{
  aVisit(aValue, aPath);
  if (json::object* object = aValue.if_object()) {
    for (auto& entry : *object) {
      Walk(entry.value(), aPath + "." + std::string(entry.key()), aVisit);
    }
  } else if (json::array* list = aValue.if_array()) {
    for (std::size_t i = 0; i < list->size(); ++i) {
      Walk((*list)[i], aPath + "[" + std::to_string(i) + "]", aVisit);
    }
  }
}

std::vector<json::value>
Replacements()
{
  std::vector<json::value> values{ nullptr, true, false };
  for (const std::int64_t number :
       { std::int64_t{ -1 },
         std::int64_t{ 0 },
         std::int64_t{ 1 },
         std::int64_t{ 256 },
         std::int64_t{ 1 } << 33,
         std::numeric_limits<std::int64_t>::min(),
         std::numeric_limits<std::int64_t>::max() }) {
    values.emplace_back(number);
  }
  values.emplace_back(std::numeric_limits<std::uint64_t>::max());
  values.emplace_back(1e308);
  values.emplace_back(-0.5);
  values.emplace_back("");
  values.emplace_back("no such thing");
  values.emplace_back(std::string(100'000, 'x'));
  values.emplace_back(json::array{});
  values.emplace_back(json::object{});
  values.emplace_back(json::object{ { "parameter", "missing" } });
  values.emplace_back(json::object{ { "parameter", "seats" } });
  return values;
}

} // namespace

std::vector<JsonMutation>
NullMutations(std::string_view aText, std::string_view aRoot)
{
  std::vector<JsonMutation> result;
  json::value root = json::parse({ aText.data(), aText.size() });
  Walk(root,
       std::string(aRoot),
       [&](json::value& aPlace, const std::string& aPath) {
         json::value kept = nullptr;
         kept.swap(aPlace);
         result.push_back({ aPath, json::serialize(root) });
         kept.swap(aPlace);
       });
  return result;
}

std::vector<JsonMutation>
UnknownFieldMutations(std::string_view aText, std::string_view aRoot)
{
  std::vector<JsonMutation> result;
  json::value root = json::parse({ aText.data(), aText.size() });
  Walk(root,
       std::string(aRoot),
       [&](json::value& aPlace, const std::string& aPath) {
         if (json::object* object = aPlace.if_object()) {
           (*object)["surplus"] = 1;
           result.push_back({ aPath + ".surplus", json::serialize(root) });
           object->erase("surplus");
         }
       });
  return result;
}

std::vector<JsonMutation>
ReplacementMutations(std::string_view aText, std::string_view aRoot)
{
  std::vector<JsonMutation> result;
  json::value root = json::parse({ aText.data(), aText.size() });
  const std::vector<json::value> replacements = Replacements();
  Walk(root,
       std::string(aRoot),
       [&](json::value& aPlace, const std::string& aPath) {
         const json::value kept = aPlace;
         for (const json::value& replacement : replacements) {
           aPlace = replacement;
           result.push_back({ aPath, json::serialize(root) });
         }
         aPlace = kept;
         if (json::object* object = aPlace.if_object()) {
           for (const auto& entry : kept.get_object()) {
             object->erase(entry.key());
             result.push_back({ aPath, json::serialize(root) });
             (*object)[entry.key()] = entry.value();
           }
         }
       });
  return result;
}

} // namespace tarragontray
