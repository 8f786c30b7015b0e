#include "programs/CtlOutcome.h"

#include <utility>

#include <boost/json.hpp>

#include "version/JsonObject.h"
#include "version/ObjectKeys.h"

namespace tarragontray {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxOutcomeBytes = 65'536;

/// Returns nothing when the body is not a complete outcome.
std::optional<StoredOutcome>
Decode(const std::string& aBody)
{
  FieldErrors errors("outcome.decode");
  StoredOutcome outcome;
  const std::optional<Error> fault = ParseJson(
    aBody, kMaxOutcomeBytes, "outcome.decode", [&](const json::value& aRoot) {
      JsonObject object(aRoot, "outcome", errors);
      const ServiceId service{ ClientAccountId(object.Text("account")),
                               ServiceName(object.Text("service")) };
      outcome.m_move = { service, PlanNumber(object.Number("plan")) };
      outcome.m_state = object.Text("state");
      outcome.m_time = object.Text("time");
      outcome.m_route = object.Text("route");
      outcome.m_reason = object.Text("reason");
    });
  const bool isValid = !fault && !errors.First();
  return isValid ? std::optional(std::move(outcome)) : std::nullopt;
}

} // namespace

Result<std::vector<StoredOutcome>>
ReadOutcomes(CtlSession& aSession, const ClientAccountId& aAccount)
{
  BOOST_OUTCOME_TRY(
    const PlatformListing listing,
    aSession.List(std::string(kMovePrefix) + aAccount.Value() + "/"));
  std::vector<StoredOutcome> outcomes;
  for (const PlatformObject& object : listing.m_objects) {
    if (auto outcome = Decode(object.m_document.m_body)) {
      outcomes.push_back(std::move(*outcome));
    }
  }
  return outcomes;
}

Result<std::optional<StoredOutcome>>
ReadOutcome(CtlSession& aSession, const MoveId& aMove)
{
  BOOST_OUTCOME_TRY(const auto object, aSession.Find(MoveKey(aMove)));
  if (!object) {
    return std::optional<StoredOutcome>();
  }
  return Decode(object->m_document.m_body);
}

} // namespace tarragontray
