#include "process/StatusJson.h"

#include <limits>
#include <set>
#include <string_view>

#include <boost/json.hpp>

#include "base/TimeText.h"

namespace tarragontray {

namespace json = boost::json;

namespace {

constexpr std::int64_t kMaxSlots = 100'000;

double
Milliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

json::object
ToJson(const MemberRecord& aMember)
{
  return { { "vm", aMember.m_vm.Value() },
           { "data_centre", aMember.m_dataCentre.Value() },
           { "region", aMember.m_region.Value() },
           { "peer_address", aMember.m_peerAddress.ToString() },
           { "incarnation", aMember.m_incarnation.Value() },
           { "state", std::string(Name(aMember.m_state)) },
           { "account", aMember.m_upstream.m_service.m_owner.Value() },
           { "service", aMember.m_upstream.m_service.m_name.Value() },
           { "version", aMember.m_upstream.m_version.Value() },
           { "upstream_state", std::string(Name(aMember.m_upstream.m_state)) },
           { "slots", aMember.m_upstream.m_slots.Value() } };
}

json::object
ToJson(const AccountStatus& aAccount)
{
  json::object object{ { "account", aAccount.m_account.Value() },
                       { "version", nullptr },
                       { "floor", aAccount.m_floor.Value() } };
  if (aAccount.m_inForce) {
    object["version"] = aAccount.m_inForce->Value();
  }
  if (aAccount.m_pending) {
    const PendingVersion& pending = *aAccount.m_pending;
    object["pending"] = { { "version", pending.m_version.Value() },
                          { "reason", std::string(Name(pending.m_reason)) },
                          { "detail", pending.m_detail } };
  }
  return object;
}

json::object
ToJson(const MoveStatus& aMove)
{
  json::object shares;
  for (const auto& [dataCentre, share] : aMove.m_shares) {
    shares[dataCentre.Value()] = share.Fraction();
  }
  const MovePlan& plan = aMove.m_plan;
  json::object object{ { "account", plan.m_id.m_service.m_owner.Value() },
                       { "service", plan.m_id.m_service.m_name.Value() },
                       { "plan", plan.m_id.m_plan.Value() },
                       { "from", plan.m_from.Value() },
                       { "to", plan.m_to.Value() },
                       { "start", FormatWallTime(plan.m_start) },
                       { "deadline", FormatWallTime(plan.m_deadline) },
                       { "state", std::string(Name(aMove.m_state)) },
                       { "shares", std::move(shares) },
                       { "reason", aMove.m_reason },
                       { "route", aMove.m_route.Value() },
                       { "calls", aMove.m_calls.Value() } };
  if (aMove.m_time) {
    object["time"] = FormatWallTime(*aMove.m_time);
  }
  return object;
}

json::object
ToJson(const UsageEntry& aEntry)
{
  return { { "using", aEntry.m_key.m_using.Value() },
           { "owning", aEntry.m_key.m_owning.Value() },
           { "calls", aEntry.m_usage.m_calls.Value() },
           { "slot_ms", Milliseconds(aEntry.m_usage.m_slotTime) } };
}

template<typename T>
json::array
ToJson(const std::vector<T>& aItems)
{
  json::array array;
  array.reserve(aItems.size());
  for (const T& item : aItems) {
    array.emplace_back(ToJson(item));
  }
  return array;
}

json::array
Names(const std::set<DataCentreId>& aDataCentres)
{
  json::array array;
  for (const DataCentreId& dataCentre : aDataCentres) {
    array.emplace_back(dataCentre.Value());
  }
  return array;
}

json::object
ToJson(const ControlStats& aStats)
{
  return { { "processor_ms", Milliseconds(aStats.m_processorTime) },
           { "sent_bytes", aStats.m_sent.Value() },
           { "received_bytes", aStats.m_received.Value() },
           { "platform_calls", aStats.m_platformCalls.Value() },
           { "platform_resent", aStats.m_platformResent.Value() },
           { "bad_datagrams", aStats.m_badDatagrams.Value() } };
}

json::object
ToJson(const GuardStats& aStats)
{
  return { { "running", aStats.m_load.m_running },
           { "queued", aStats.m_load.m_queued },
           { "slots", aStats.m_load.m_slots.Value() },
           { "refused", aStats.m_refused.Value() },
           { "refused_evacuated", aStats.m_refusedEvacuated.Value() },
           { "ran", aStats.m_ran.Value() },
           { "cold", aStats.m_isLimitedAsCold },
           { "cold_delayed", aStats.m_delayedAsCold.Value() },
           { "cold_refused", aStats.m_refusedAsCold.Value() },
           { "health_requests", aStats.m_healthRequests.Value() },
           { "resent", aStats.m_resent.Value() },
           { "resends_late", aStats.m_resendsLate.Value() },
           { "resends_closed", aStats.m_resendsClosed.Value() } };
}

Error
BadField(const std::string& aField, const std::string& aDetail)
{
  return Error(ErrorCode::InvalidArgument,
               "upstream.announce",
               "",
               "field '" + aField + "' " + aDetail);
}

Result<std::string>
TextField(const json::object& aObject, const std::string& aName)
{
  constexpr std::size_t kMaxText = 128;
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr || !value->is_string() || value->as_string().empty() ||
      value->as_string().size() > kMaxText) {
    return BadField(aName, "must be text of 1 to 128 characters");
  }
  return std::string(value->as_string());
}

Result<json::object>
ParseObject(const std::string& aText, const char* aStep)
{
  boost::system::error_code error;
  json::value value = json::parse(aText, error);
  if (error || !value.is_object()) {
    return Error(ErrorCode::Malformed, aStep, "", "not a JSON object");
  }
  return std::move(value.as_object());
}

Result<UpstreamState>
StateField(const json::object& aObject)
{
  BOOST_OUTCOME_TRY(const std::string text, TextField(aObject, "state"));
  for (const UpstreamState state : { UpstreamState::Starting,
                                     UpstreamState::Live,
                                     UpstreamState::Draining }) {
    if (text == Name(state)) {
      return state;
    }
  }
  return BadField("state", "must be starting, live or draining");
}

} // namespace

std::string
StatusJson(const ControlStatus& aStatus,
           const ControlStats& aControl,
           const GuardStats& aGuard,
           bool aIsDraining)
{
  json::object object{
    { "vm", aStatus.m_self.m_vm.Value() },
    { "data_centre", aStatus.m_self.m_dataCentre.Value() },
    { "program_version", TARRAGONTRAY_VERSION },
    { "draining", aIsDraining },
    { "relay", aStatus.m_isRelay },
    { "below_floor", aStatus.m_isBelowFloor },
    { "highest_revision", aStatus.m_digest.m_highest.Value() },
    { "members", ToJson(aStatus.m_members) },
    { "configurations", ToJson(aStatus.m_accounts) },
    { "moves", ToJson(aStatus.m_moves) },
    { "evacuations", Names(aStatus.m_evacuated) },
    { "ledger", ToJson(aStatus.m_ledger) },
    { "control", ToJson(aControl) },
    { "guard", ToJson(aGuard) },
    { "membership",
      { { "probes", aStatus.m_membership.m_probes },
        { "suspected", aStatus.m_membership.m_suspected },
        { "declared_dead", aStatus.m_membership.m_declaredDead },
        { "refuted", aStatus.m_membership.m_refuted } } },
    { "distribution",
      { { "stale", aStatus.m_distribution.m_stale },
        { "spread", aStatus.m_distribution.m_spread },
        { "pulls", aStatus.m_gossip.m_pulls },
        { "pulls_failed", aStatus.m_gossip.m_pullsFailed } } }
  };
  return json::serialize(object);
}

Result<UpstreamReport>
ParseUpstreamReport(const std::string& aText)
{
  BOOST_OUTCOME_TRY(const auto object, ParseObject(aText, "upstream.announce"));
  UpstreamReport report;
  UpstreamAnnouncement& announcement = report.m_announcement;
  BOOST_OUTCOME_TRY(auto account, TextField(object, "account"));
  BOOST_OUTCOME_TRY(auto service, TextField(object, "service"));
  BOOST_OUTCOME_TRY(auto version, TextField(object, "version"));
  BOOST_OUTCOME_TRY(announcement.m_state, StateField(object));
  BOOST_OUTCOME_TRY(const auto address, TextField(object, "address"));
  BOOST_OUTCOME_TRY(report.m_place.m_address, NetworkAddress::Parse(address));
  announcement.m_service = { ClientAccountId(std::move(account)),
                             ServiceName(std::move(service)) };
  announcement.m_version = UpstreamVersion(std::move(version));
  const json::value* slots = object.if_contains("slots");
  if (slots == nullptr || !slots->is_int64() || slots->as_int64() < 1 ||
      slots->as_int64() > kMaxSlots) {
    return BadField("slots", "must be a whole number of 1 to 100000");
  }
  announcement.m_slots =
    SlotCount(static_cast<std::uint32_t>(slots->as_int64()));
  return report;
}

std::optional<Result<ControlRequest>>
NativeControlDialect::Read(const HttpRequestParts& aRequest) const
{
  if (aRequest.m_method == "GET" && aRequest.m_target == "/ready") {
    return ControlRequest(ReadinessQuery{});
  }
  if (aRequest.m_method != "POST" || aRequest.m_target != "/v1/upstream") {
    return std::nullopt;
  }
  Result<UpstreamReport> report = ParseUpstreamReport(aRequest.m_body);
  if (!report) {
    return Result<ControlRequest>(report.error());
  }
  return Result<ControlRequest>(ControlRequest(std::move(report.value())));
}

HttpAnswerParts
NativeControlDialect::Acknowledge() const
{
  HttpAnswerParts answer;
  answer.m_status = 204;
  return answer;
}

std::string
OutcomeJson(const MoveOutcome& aOutcome, const MoveOrder* aOrder)
{
  json::object outcome{ { "account",
                          aOutcome.m_move.m_service.m_owner.Value() },
                        { "service", aOutcome.m_move.m_service.m_name.Value() },
                        { "plan", aOutcome.m_move.m_plan.Value() },
                        { "version", aOutcome.m_to.Value() },
                        { "started_ms",
                          std::chrono::duration_cast<std::chrono::milliseconds>(
                            aOutcome.m_started.time_since_epoch())
                            .count() },
                        { "state", std::string(Name(aOutcome.m_state)) },
                        { "time", FormatWallTime(aOutcome.m_time) },
                        { "route", aOutcome.m_route.Value() },
                        { "reason", aOutcome.m_reason } };
  if (aOrder != nullptr) {
    json::array unproven;
    for (const UpstreamVersion& version : aOrder->m_base.m_unproven) {
      unproven.emplace_back(version.Value());
    }
    outcome["request"] = aOrder->m_request.Value();
    outcome["from"] = aOrder->m_base.m_from.Value();
    outcome["unproven"] = std::move(unproven);
  }
  return json::serialize(outcome);
}

std::string
NodeJson(const MemberRecord& aNode, const DepartedUpstreams& aDeparted)
{
  json::object node{ { "vm", aNode.m_vm.Value() },
                     { "peer_address", aNode.m_peerAddress.ToString() },
                     { "incarnation", aNode.m_incarnation.Value() } };
  json::array departed;
  for (const UpstreamProcess& process : aDeparted.Processes()) {
    json::object entry{ { "instance", process.m_instance.Value() } };
    if (process.m_birth) {
      entry["birth"] = process.m_birth->Value();
    }
    departed.push_back(std::move(entry));
  }
  if (!departed.empty()) {
    node["left"] = std::move(departed);
  }
  return json::serialize(node);
}

namespace {

Result<UpstreamProcess>
ParseDeparted(const json::value& aValue)
{
  if (!aValue.is_object()) {
    return Error(
      ErrorCode::InvalidArgument, "node.read", "", "left: not an object");
  }
  const json::object& fields = aValue.as_object();
  BOOST_OUTCOME_TRY(auto instance, TextField(fields, "instance"));
  UpstreamProcess process{ UpstreamInstanceId(std::move(instance)), {} };
  const json::value* birth = fields.if_contains("birth");
  if (birth != nullptr && birth->is_int64() && birth->as_int64() >= 0) {
    process.m_birth =
      UpstreamBirth(static_cast<std::uint64_t>(birth->as_int64()));
  }
  return process;
}

} // namespace

Result<NodeEntry>
ParseNode(const std::string& aText)
{
  BOOST_OUTCOME_TRY(const auto node, ParseObject(aText, "node.read"));
  NodeEntry entry;
  BOOST_OUTCOME_TRY(const auto address, TextField(node, "peer_address"));
  BOOST_OUTCOME_TRY(entry.m_peerAddress, NetworkAddress::Parse(address));
  const json::value* left = node.if_contains("left");
  if (left == nullptr) {
    return entry;
  }
  // Entries of earlier releases hold one process instead of a list.
  const json::array processes =
    left->is_array() ? left->as_array() : json::array{ *left };
  for (const json::value& value : processes) {
    BOOST_OUTCOME_TRY(const auto process, ParseDeparted(value));
    entry.m_departed.Add(process);
  }
  return entry;
}

std::string
UsageJson(const UsagePage& aPage)
{
  json::array reports;
  for (const UsageReport& report : aPage.m_reports) {
    reports.push_back(
      json::object{ { "vm", report.m_vm.Value() },
                    { "incarnation", report.m_incarnation.Value() },
                    { "usage", ToJson(report.m_entries) } });
  }
  return json::serialize(json::object{ { "reports", std::move(reports) } });
}

} // namespace tarragontray
