#include "programs/CtlNodeStatus.h"

#include <utility>

#include <boost/json.hpp>

namespace tarragontray {

namespace json = boost::json;

namespace {

// A field that is missing or has another type reads as empty, 0 or false.

std::string
TextAt(const json::object& aObject, const char* aName)
{
  const json::value* value = aObject.if_contains(aName);
  return value && value->is_string() ? std::string(value->get_string())
                                     : std::string();
}

std::uint64_t
NumberAt(const json::object& aObject, const char* aName)
{
  const json::value* value = aObject.if_contains(aName);
  if (!value || !value->is_number()) {
    return 0;
  }
  json::error_code code;
  const auto number = value->to_number<std::uint64_t>(code);
  return code ? 0 : number;
}

bool
FlagAt(const json::object& aObject, const char* aName)
{
  const json::value* value = aObject.if_contains(aName);
  return value && value->is_bool() && value->get_bool();
}

ServiceId
ServiceAt(const json::object& aObject)
{
  return { ClientAccountId(TextAt(aObject, "account")),
           ServiceName(TextAt(aObject, "service")) };
}

NodeMember
ReadMember(const json::object& aObject)
{
  NodeMember member;
  member.m_vm = VmId(TextAt(aObject, "vm"));
  member.m_dataCentre = DataCentreId(TextAt(aObject, "data_centre"));
  member.m_state = TextAt(aObject, "state");
  member.m_peerAddress = TextAt(aObject, "peer_address");
  member.m_service = ServiceAt(aObject);
  member.m_version = UpstreamVersion(TextAt(aObject, "version"));
  member.m_upstreamState = TextAt(aObject, "upstream_state");
  member.m_slots =
    SlotCount(static_cast<std::uint32_t>(NumberAt(aObject, "slots")));
  return member;
}

/// The newer version that is not in force and the reason; empty if there is
/// none.
std::string
ReadPending(const json::object& aObject)
{
  const json::value* pending = aObject.if_contains("pending");
  const json::object* object = pending ? pending->if_object() : nullptr;
  if (!object) {
    return {};
  }
  return "version " + std::to_string(NumberAt(*object, "version")) + " " +
         TextAt(*object, "reason") + ": " + TextAt(*object, "detail");
}

NodeAccount
ReadAccount(const json::object& aObject)
{
  NodeAccount account;
  account.m_account = ClientAccountId(TextAt(aObject, "account"));
  const json::value* version = aObject.if_contains("version");
  if (version && version->is_number()) {
    account.m_inForce = Revision(NumberAt(aObject, "version"));
  }
  account.m_pending = ReadPending(aObject);
  return account;
}

NodeMove
ReadMove(const json::object& aObject)
{
  NodeMove move;
  move.m_move = { ServiceAt(aObject), PlanNumber(NumberAt(aObject, "plan")) };
  move.m_from = UpstreamVersion(TextAt(aObject, "from"));
  move.m_to = UpstreamVersion(TextAt(aObject, "to"));
  move.m_state = TextAt(aObject, "state");
  move.m_reason = TextAt(aObject, "reason");
  move.m_route = RouteName(TextAt(aObject, "route"));
  move.m_time = TextAt(aObject, "time");
  move.m_calls = CallCount(NumberAt(aObject, "calls"));
  const json::value* shares = aObject.if_contains("shares");
  const json::object* object = shares ? shares->if_object() : nullptr;
  if (object) {
    for (const json::key_value_pair& entry : *object) {
      json::error_code code;
      const auto fraction = entry.value().to_number<double>(code);
      move.m_shares[DataCentreId(std::string(entry.key()))] =
        Share::FromFraction(code ? 0 : fraction);
    }
  }
  return move;
}

/// Reads the objects of the list and skips elements of other types.
template<typename Item, typename Read>
std::vector<Item>
ReadList(const json::object& aObject, const char* aName, Read aRead)
{
  std::vector<Item> items;
  const json::value* value = aObject.if_contains(aName);
  const json::array* list = value ? value->if_array() : nullptr;
  if (list) {
    for (const json::value& element : *list) {
      if (const json::object* object = element.if_object()) {
        items.push_back(aRead(*object));
      }
    }
  }
  return items;
}

} // namespace

Result<NodeStatus>
DecodeNodeStatus(std::string_view aText)
{
  json::error_code code;
  const json::value root = json::parse({ aText.data(), aText.size() }, code);
  const json::object* object = code ? nullptr : root.if_object();
  if (!object) {
    return Error(ErrorCode::Malformed,
                 "node.status",
                 "",
                 "answer to GET /status is not a JSON object");
  }
  NodeStatus status;
  status.m_vm = VmId(TextAt(*object, "vm"));
  status.m_dataCentre = DataCentreId(TextAt(*object, "data_centre"));
  status.m_isDraining = FlagAt(*object, "draining");
  status.m_isRelay = FlagAt(*object, "relay");
  status.m_members = ReadList<NodeMember>(*object, "members", ReadMember);
  status.m_accounts =
    ReadList<NodeAccount>(*object, "configurations", ReadAccount);
  status.m_moves = ReadList<NodeMove>(*object, "moves", ReadMove);
  return status;
}

std::vector<AskedNode>
AskNodes(CtlSession& aSession)
{
  std::vector<AskedNode> asked;
  for (const NetworkAddress& address : aSession.Nodes()) {
    const Result<std::string> text = aSession.NodeStatus(address);
    asked.push_back({ address,
                      text ? DecodeNodeStatus(text.value())
                           : Result<NodeStatus>(text.error()) });
  }
  return asked;
}

Result<NodeStatus>
FirstStatus(CtlSession& aSession)
{
  Result<NodeStatus> last = Error(ErrorCode::InvalidArgument,
                                  "ctl.settings",
                                  "",
                                  "--node: is needed for this command");
  for (const NetworkAddress& address : aSession.Nodes()) {
    const Result<std::string> text = aSession.NodeStatus(address);
    last =
      text ? DecodeNodeStatus(text.value()) : Result<NodeStatus>(text.error());
    if (last) {
      return last;
    }
  }
  return last;
}

} // namespace tarragontray
