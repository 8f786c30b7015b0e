#include <algorithm>
#include <set>
#include <utility>

#include <boost/json.hpp>

#include "programs/CtlChange.h"
#include "programs/CtlFormat.h"
#include "programs/CtlNodeStatus.h"
#include "version/ObjectKeys.h"

namespace tarragontray {

namespace json = boost::json;

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(250);

/// How far a version has been propagated to the nodes of --node.
struct Propagation
{
  /// Number of nodes that have the version, or a newer one, in force.
  std::size_t m_inForce = 0;
  /// Nodes that do not have the version in force, with the version they have or
  /// the error of the call. Leaves out nodes that did not answer and that
  /// another node reports as not alive.
  std::vector<std::string> m_missing;
  /// VMs that are alive and for which no --node was given.
  std::vector<std::string> m_notAsked;
};

std::string
IpOf(const std::string& aAddress)
{
  return aAddress.substr(0, aAddress.find(':'));
}

/// The membership as the nodes of --node report it. A member is in both sets
/// when the nodes disagree.
struct Membership
{
  /// Members that at least one node reports as alive.
  std::set<VmId> m_alive;
  /// IP addresses of members that at least one node reports in another state.
  std::set<std::string> m_notAliveIps;
};

Membership
MembershipOf(const std::vector<AskedNode>& aAsked)
{
  Membership membership;
  for (const AskedNode& node : aAsked) {
    if (!node.m_status) {
      continue;
    }
    for (const NodeMember& member : node.m_status.value().m_members) {
      if (member.m_state == "alive") {
        membership.m_alive.insert(member.m_vm);
      } else {
        membership.m_notAliveIps.insert(IpOf(member.m_peerAddress));
      }
    }
  }
  return membership;
}

/// Describes which version of the account a node has in force.
std::string
DescribeVersion(const NodeStatus& aStatus, const ClientAccountId& aAccount)
{
  for (const NodeAccount& account : aStatus.m_accounts) {
    if (account.m_account == aAccount) {
      const std::string version =
        account.m_inForce ? std::to_string(account.m_inForce->Value()) : "none";
      return " has version " + version +
             (account.m_pending.empty() ? "" : "; " + account.m_pending);
    }
  }
  return " has no configuration of the account";
}

/// Whether the node has aVersion or a newer one in force.
bool
IsInForce(const NodeStatus& aStatus,
          const ClientAccountId& aAccount,
          Revision aVersion)
{
  return std::any_of(aStatus.m_accounts.begin(),
                     aStatus.m_accounts.end(),
                     [&](const NodeAccount& aEntry) {
                       return aEntry.m_account == aAccount &&
                              aEntry.m_inForce && *aEntry.m_inForce >= aVersion;
                     });
}

/// Asks all nodes of --node.
Propagation
ReadPropagation(CtlSession& aSession,
                const ClientAccountId& aAccount,
                Revision aVersion)
{
  const std::vector<AskedNode> asked = AskNodes(aSession);
  Membership membership = MembershipOf(asked);
  Propagation propagation;
  for (const AskedNode& node : asked) {
    if (!node.m_status) {
      if (!membership.m_notAliveIps.contains(node.m_address.IpString())) {
        propagation.m_missing.push_back(node.m_address.ToString() + " " +
                                        node.m_status.error().Message());
      }
      continue;
    }
    const NodeStatus& status = node.m_status.value();
    membership.m_alive.erase(status.m_vm);
    if (IsInForce(status, aAccount, aVersion)) {
      ++propagation.m_inForce;
    } else {
      propagation.m_missing.push_back(status.m_vm.Value() +
                                      DescribeVersion(status, aAccount));
    }
  }
  for (const VmId& vm : membership.m_alive) {
    propagation.m_notAsked.push_back(vm.Value());
  }
  return propagation;
}

json::array
ToJson(const std::vector<std::string>& aLines)
{
  json::array list;
  for (const std::string& line : aLines) {
    list.emplace_back(line);
  }
  return list;
}

/// Adds the propagation of the version, aTime after the wait began, to the
/// output of the change.
CtlOutput
AddPropagation(CtlOutput aApplied,
               const Propagation& aPropagation,
               Duration aTime)
{
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
  aApplied.m_text += "in force on " + std::to_string(aPropagation.m_inForce) +
                     " nodes after " + std::to_string(milliseconds) + " ms\n";
  for (const std::string& node : aPropagation.m_missing) {
    aApplied.m_text += "not in force: " + node + "\n";
  }
  for (const std::string& vm : aPropagation.m_notAsked) {
    aApplied.m_text += "live, but no --node given: " + vm + "\n";
  }
  json::value root = json::parse(aApplied.m_json);
  root.as_object()["in_force"] = {
    { "nodes", aPropagation.m_inForce },
    { "after_ms", milliseconds },
    { "missing", ToJson(aPropagation.m_missing) },
    { "not_asked", ToJson(aPropagation.m_notAsked) },
  };
  aApplied.m_json = json::serialize(root);
  if (!aPropagation.m_missing.empty()) {
    aApplied.m_exitStatus = kExitFailed;
  }
  return aApplied;
}

} // namespace

Result<void>
CheckWait(const CtlContext& aContext)
{
  if (aContext.m_settings.IsOn("wait") && aContext.m_session.Nodes().empty()) {
    return Error(ErrorCode::InvalidArgument,
                 "ctl.settings",
                 "",
                 "--node: required with --wait");
  }
  return Success();
}

Result<CtlOutput>
FinishChange(const CtlContext& aContext,
             const ClientAccountId& aAccount,
             CtlOutput aApplied)
{
  if (!aContext.m_settings.IsOn("wait") || aApplied.m_exitStatus != kExitDone) {
    return aApplied;
  }
  CtlSession& session = aContext.m_session;
  BOOST_OUTCOME_TRY(const PlatformObject object,
                    session.Read(ConfigurationKey(aAccount)));
  const Revision version = object.m_document.m_revision;
  const WallTime start = session.Now();
  const Duration limit = aContext.m_settings.Milliseconds("wait-ms");
  Propagation propagation = ReadPropagation(session, aAccount, version);
  while (!propagation.m_missing.empty() && session.Now() - start < limit) {
    DrawProgress("version " + std::to_string(version.Value()) +
                 ": in force on " + std::to_string(propagation.m_inForce) +
                 " nodes, not yet on " +
                 std::to_string(propagation.m_missing.size()));
    session.Wait(kPollInterval);
    propagation = ReadPropagation(session, aAccount, version);
  }
  DrawProgress("");
  return AddPropagation(
    std::move(aApplied), propagation, session.Now() - start);
}

} // namespace tarragontray
