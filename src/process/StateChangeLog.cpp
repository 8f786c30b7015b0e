#include "process/StateChangeLog.h"

#include <set>

#include "process/Log.h"

namespace tarragontray {

namespace {

std::string
Text(std::optional<Revision> aRevision)
{
  return aRevision ? std::to_string(aRevision->Value()) : "none";
}

std::string
Shares(const MoveStatus& aMove)
{
  std::string text;
  for (const auto& [dataCentre, share] : aMove.m_shares) {
    text += text.empty() ? "" : ",";
    text += dataCentre.Value() + ":" + std::to_string(share.Fraction());
  }
  return text;
}

/// Removes the entries of aMap whose key no element of aEntries has.
template<typename Map, typename Entries, typename KeyOf>
void
RemoveAbsent(Map& aMap, const Entries& aEntries, KeyOf aKeyOf)
{
  std::set<typename Map::key_type> keys;
  for (const auto& entry : aEntries) {
    keys.insert(aKeyOf(entry));
  }
  std::erase_if(
    aMap, [&](const auto& aEntry) { return !keys.contains(aEntry.first); });
}

} // namespace

void
StateChangeLog::LogChanges(const ControlStatus& aStatus)
{
  for (const AccountStatus& account : aStatus.m_accounts) {
    const auto origin = aStatus.m_origins.find(account.m_account);
    LogAccount(account,
               origin == aStatus.m_origins.end() ? DocumentOrigin()
                                                 : origin->second);
  }
  for (const MemberRecord& member : aStatus.m_members) {
    LogMember(member);
  }
  for (const MoveStatus& move : aStatus.m_moves) {
    LogMove(move);
  }
  LogOrders(aStatus);
  LogEvacuations(aStatus.m_evacuated);
  RemoveAbsent(m_members, aStatus.m_members, [](const MemberRecord& aMember) {
    return aMember.m_vm;
  });
  RemoveAbsent(m_moves, aStatus.m_moves, [](const MoveStatus& aMove) {
    return aMove.m_plan.m_id;
  });
  LogDroppedLines();
}

void
StateChangeLog::LogAccount(const AccountStatus& aAccount,
                           const DocumentOrigin& aOrigin)
{
  AccountStatus& previous = m_accounts[aAccount.m_account];
  if (previous.m_inForce != aAccount.m_inForce) {
    Log(LogLevel::Info,
        "control",
        "Configuration in force.",
        { { "account", aAccount.m_account.Value() },
          { "revision", Text(aAccount.m_inForce) },
          { "was", Text(previous.m_inForce) },
          { "source", std::string(Name(aOrigin.m_channel)) },
          { "peer", aOrigin.m_peer.Value() },
          { "platform_age_ms",
            aOrigin.m_platformAge ? Milliseconds(*aOrigin.m_platformAge)
                                  : "never" } });
  }
  const auto pendingOf = [](const AccountStatus& aStatus) {
    return aStatus.m_pending ? std::optional(aStatus.m_pending->m_version)
                             : std::nullopt;
  };
  if (aAccount.m_pending && pendingOf(previous) != pendingOf(aAccount)) {
    Log(LogLevel::Warning,
        "control",
        "Configuration not applied.",
        { { "account", aAccount.m_account.Value() },
          { "revision", Text(pendingOf(aAccount)) },
          { "reason", std::string(Name(aAccount.m_pending->m_reason)) },
          { "detail", aAccount.m_pending->m_detail },
          { "in_force", Text(aAccount.m_inForce) } });
  }
  previous = aAccount;
}

void
StateChangeLog::LogMember(const MemberRecord& aMember)
{
  const auto [entry, isNew] = m_members.try_emplace(aMember.m_vm);
  MemberRecord& previous = entry->second;
  const UpstreamAnnouncement& upstream = aMember.m_upstream;
  const bool isChanged = isNew || previous.m_state != aMember.m_state ||
                         previous.m_incarnation != aMember.m_incarnation ||
                         previous.m_upstream.m_state != upstream.m_state ||
                         previous.m_upstream.m_version != upstream.m_version ||
                         previous.m_upstream.m_service != upstream.m_service;
  if (!isChanged) {
    return;
  }
  previous = aMember;
  Log(LogLevel::Info,
      "member",
      "Node changed.",
      { { "vm", aMember.m_vm.Value() },
        { "state", std::string(Name(aMember.m_state)) },
        { "incarnation", std::to_string(aMember.m_incarnation.Value()) },
        { "sequence", std::to_string(aMember.m_sequence) },
        { "service", upstream.m_service.m_name.Value() },
        { "version", upstream.m_version.Value() },
        { "upstream", std::string(Name(upstream.m_state)) } });
}

void
StateChangeLog::LogMove(const MoveStatus& aMove)
{
  const MoveId& id = aMove.m_plan.m_id;
  const std::string shares = Shares(aMove);
  const std::string summary =
    std::string(Name(aMove.m_state)) + " " + shares + " " + aMove.m_reason;
  std::string& previous = m_moves[id];
  if (previous == summary) {
    return;
  }
  previous = summary;
  Log(LogLevel::Info,
      "move",
      "Move changed.",
      { { "service", id.m_service.m_name.Value() },
        { "plan", std::to_string(id.m_plan.Value()) },
        { "to", aMove.m_plan.m_to.Value() },
        { "state", std::string(Name(aMove.m_state)) },
        { "shares", shares },
        { "route", aMove.m_route.Value() },
        { "calls", std::to_string(aMove.m_calls.Value()) },
        { "reason", aMove.m_reason },
        { "evidence", aMove.m_evidence } });
}

void
StateChangeLog::LogOrders(const ControlStatus& aStatus)
{
  if (aStatus.m_rejectedOrders != m_rejectedOrders &&
      aStatus.m_lastRejectedOrder) {
    Log(LogLevel::Warning,
        "move",
        "Move order rejected.",
        *aStatus.m_lastRejectedOrder);
  }
  m_rejectedOrders = aStatus.m_rejectedOrders;
}

void
StateChangeLog::LogEvacuations(const std::set<DataCentreId>& aEvacuated)
{
  for (const DataCentreId& dataCentre : aEvacuated) {
    if (!m_evacuated.contains(dataCentre)) {
      Log(LogLevel::Warning,
          "control",
          "Evacuation began.",
          { { "data_centre", dataCentre.Value() } });
    }
  }
  for (const DataCentreId& dataCentre : m_evacuated) {
    if (!aEvacuated.contains(dataCentre)) {
      Log(LogLevel::Info,
          "control",
          "Evacuation ended.",
          { { "data_centre", dataCentre.Value() } });
    }
  }
  m_evacuated = aEvacuated;
}

void
StateChangeLog::LogDroppedLines()
{
  const std::uint64_t dropped = DroppedLogLines();
  if (dropped == m_dropped) {
    return;
  }
  Log(LogLevel::Warning,
      "log",
      "Lines dropped.",
      { { "since_last", std::to_string(dropped - m_dropped) },
        { "since_start", std::to_string(dropped) } });
  m_dropped = dropped;
}

} // namespace tarragontray
