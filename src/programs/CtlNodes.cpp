#include <algorithm>
#include <map>
#include <utility>

#include <boost/json.hpp>

#include "programs/CtlCommand.h"
#include "programs/CtlFormat.h"
#include "programs/CtlNodeStatus.h"

namespace tarragontray {

namespace json = boost::json;

namespace {

constexpr std::string_view kLedgerPrefix = "ledger/";

/// The version in force of each account, for example "mesqel-gate:57
/// vanua-voice:none", with the reason in parentheses if a newer one is pending.
std::string
VersionsOf(const NodeStatus& aStatus)
{
  std::string text;
  for (const NodeAccount& account : aStatus.m_accounts) {
    text += text.empty() ? "" : " ";
    text +=
      account.m_account.Value() + ":" +
      (account.m_inForce ? std::to_string(account.m_inForce->Value()) : "none");
    text += account.m_pending.empty() ? "" : " (" + account.m_pending + ")";
  }
  return text;
}

json::object
VersionsJson(const NodeStatus& aStatus)
{
  json::object versions;
  for (const NodeAccount& account : aStatus.m_accounts) {
    versions[account.m_account.Value()] =
      account.m_inForce ? json::value(account.m_inForce->Value())
                        : json::value(nullptr);
  }
  return versions;
}

class Nodes final : public CtlCommand
{
public:
  std::string_view Name() const override { return "nodes"; }
  std::string_view Arguments() const override { return ""; }
  std::string_view Summary() const override
  {
    return "Shows each node given with the versions in force on it.";
  }

  Result<CtlOutput> Run(const CtlContext& aContext) const override
  {
    TextTable table({ "NODE", "VM", "DATA CENTRE", "STATE", "VERSIONS" });
    json::array list;
    CtlOutput output;
    for (const AskedNode& node : AskNodes(aContext.m_session)) {
      const std::string address = node.m_address.ToString();
      if (!node.m_status) {
        const std::string code(
          tarragontray::Name(node.m_status.error().Code()));
        table.Add({ address, "-", "-", code, "" });
        list.push_back(json::object{ { "node", address }, { "state", code } });
        output.m_exitStatus = kExitUnreachable;
        continue;
      }
      const NodeStatus& status = node.m_status.value();
      const std::string state = status.m_isDraining ? "draining"
                                : status.m_isRelay  ? "relay"
                                                    : "serving";
      table.Add({ address,
                  status.m_vm.Value(),
                  status.m_dataCentre.Value(),
                  state,
                  VersionsOf(status) });
      list.push_back(
        json::object{ { "node", address },
                      { "vm", status.m_vm.Value() },
                      { "data_centre", status.m_dataCentre.Value() },
                      { "state", state },
                      { "versions", VersionsJson(status) } });
    }
    output.m_text = table.ToString();
    output.m_json = json::serialize(list);
    return output;
  }
};

class Upstreams final : public CtlCommand
{
public:
  std::string_view Name() const override { return "upstreams"; }
  std::string_view Arguments() const override { return ""; }
  std::string_view Summary() const override
  {
    return "Lists the upstreams that the first node reached knows.";
  }

  Result<CtlOutput> Run(const CtlContext& aContext) const override
  {
    BOOST_OUTCOME_TRY(const NodeStatus status, FirstStatus(aContext.m_session));
    TextTable table({ "VM",
                      "DATA CENTRE",
                      "NODE",
                      "ACCOUNT",
                      "SERVICE",
                      "VERSION",
                      "UPSTREAM",
                      "SLOTS" });
    json::array list;
    for (const NodeMember& member : status.m_members) {
      table.Add({ member.m_vm.Value(),
                  member.m_dataCentre.Value(),
                  member.m_state,
                  member.m_service.m_owner.Value(),
                  member.m_service.m_name.Value(),
                  member.m_version.Value(),
                  member.m_upstreamState,
                  std::to_string(member.m_slots.Value()) });
      list.push_back(
        json::object{ { "vm", member.m_vm.Value() },
                      { "data_centre", member.m_dataCentre.Value() },
                      { "node_state", member.m_state },
                      { "account", member.m_service.m_owner.Value() },
                      { "service", member.m_service.m_name.Value() },
                      { "version", member.m_version.Value() },
                      { "upstream_state", member.m_upstreamState },
                      { "slots", member.m_slots.Value() } });
    }
    return CtlOutput{ table.ToString(), json::serialize(list) };
  }
};

/// Use of one account's capacity by another account.
struct CapacityUse
{
  std::uint64_t m_calls = 0;
  double m_slotMs = 0;
};

/// The using account and the owning account.
using AccountPair = std::pair<std::string, std::string>;

/// The node process, or the object of a single report, that counted the usage.
using UsageSource = std::string;
using UsesBySource = std::map<UsageSource, std::map<AccountPair, CapacityUse>>;

/// Raises the uses of one source to those of a report. Returns false if the
/// report is malformed; the entries before the fault stay added.
bool
AddReport(const json::object& aReport,
          std::map<AccountPair, CapacityUse>& aUses)
{
  json::error_code code;
  const json::value* usage = aReport.if_contains("usage");
  const json::array* entries = usage ? usage->if_array() : nullptr;
  if (!entries) {
    return false;
  }
  for (const json::value& element : *entries) {
    const json::object* entry = element.if_object();
    if (!entry || !entry->contains("using") || !entry->contains("owning") ||
        !entry->at("using").is_string() || !entry->at("owning").is_string()) {
      return false;
    }
    CapacityUse& use = aUses[{ std::string(entry->at("using").get_string()),
                               std::string(entry->at("owning").get_string()) }];
    const json::value* calls = entry->if_contains("calls");
    const json::value* slots = entry->if_contains("slot_ms");
    if (calls && calls->is_number()) {
      use.m_calls =
        std::max(use.m_calls, calls->to_number<std::uint64_t>(code));
    }
    if (slots && slots->is_number()) {
      use.m_slotMs = std::max(use.m_slotMs, slots->to_number<double>(code));
    }
  }
  return true;
}

/// Adds the reports of one object: those of many sources, which other objects
/// may hold as well, or one of its own. Returns the number of malformed ones.
std::size_t
AddObject(const Document& aObject, UsesBySource& aUses)
{
  json::error_code code;
  const json::value root = json::parse(aObject.m_body, code);
  const json::object* object = code ? nullptr : root.if_object();
  if (!object) {
    return 1;
  }
  const json::value* list = object->if_contains("reports");
  const json::array* reports = list ? list->if_array() : nullptr;
  if (!reports) {
    return AddReport(*object, aUses[aObject.m_key.Value()]) ? 0 : 1;
  }
  std::size_t malformed = 0;
  for (const json::value& element : *reports) {
    const json::object* report = element.if_object();
    const json::value* vm = report ? report->if_contains("vm") : nullptr;
    const json::value* life =
      report ? report->if_contains("incarnation") : nullptr;
    if (!vm || !vm->is_string() || !life) {
      ++malformed;
      continue;
    }
    const UsageSource source =
      std::string(vm->get_string()) + "/" + json::serialize(*life);
    malformed += AddReport(*report, aUses[source]) ? 0 : 1;
  }
  return malformed;
}

class LedgerShow final : public CtlCommand
{
public:
  std::string_view Name() const override { return "ledger"; }
  std::string_view Arguments() const override { return ""; }
  std::string_view Summary() const override
  {
    return "Sums up what each account used of each other's capacity.";
  }

  Result<CtlOutput> Run(const CtlContext& aContext) const override
  {
    BOOST_OUTCOME_TRY(const PlatformListing listing,
                      aContext.m_session.List(std::string(kLedgerPrefix)));
    UsesBySource sources;
    std::size_t unreadable = 0;
    for (const PlatformObject& object : listing.m_objects) {
      unreadable += AddObject(object.m_document, sources);
    }
    std::map<AccountPair, CapacityUse> uses;
    for (const auto& [source, counted] : sources) {
      for (const auto& [accounts, use] : counted) {
        uses[accounts].m_calls += use.m_calls;
        uses[accounts].m_slotMs += use.m_slotMs;
      }
    }
    TextTable table({ "USING", "OWNING", "CALLS", "SLOT SECONDS" });
    json::array list;
    for (const auto& [key, use] : uses) {
      table.Add({ key.first,
                  key.second,
                  std::to_string(use.m_calls),
                  std::to_string(use.m_slotMs / 1'000) });
      list.push_back(json::object{ { "using", key.first },
                                   { "owning", key.second },
                                   { "calls", use.m_calls },
                                   { "slot_ms", use.m_slotMs } });
    }
    CtlOutput output{ table.ToString(),
                      json::serialize(
                        json::object{ { "usage", std::move(list) },
                                      { "reports", sources.size() },
                                      { "unreadable_reports", unreadable } }) };
    if (unreadable > 0) {
      output.m_text +=
        std::to_string(unreadable) + " reports could not be read\n";
      output.m_exitStatus = kExitFailed;
    }
    return output;
  }
};

} // namespace

void
AddNodeCommands(CtlCommands& aCommands)
{
  aCommands.push_back(std::make_unique<Nodes>());
  aCommands.push_back(std::make_unique<Upstreams>());
  aCommands.push_back(std::make_unique<LedgerShow>());
}

} // namespace tarragontray
