/// \file
/// What GET /status of a node says, as far as the command line uses it.
///
///     Result<NodeStatus> status = DecodeNodeStatus(text);
///
/// Unknown fields are ignored, so that newer nodes can be read.
///
/// Thread safety: values and pure functions.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Ids.h"
#include "base/NetworkAddress.h"
#include "base/Result.h"
#include "base/Units.h"
#include "programs/CtlSession.h"

namespace tarragontray {

/// One VM as the node sees it.
struct NodeMember
{
  VmId m_vm;
  DataCentreId m_dataCentre;
  /// "alive", "suspect" or "dead".
  std::string m_state;
  std::string m_peerAddress;
  ServiceId m_service;
  UpstreamVersion m_version;
  /// "absent", "starting", "live" or "draining".
  std::string m_upstreamState;
  SlotCount m_slots{ 0 };
};

/// One account's configuration on the node.
struct NodeAccount
{
  ClientAccountId m_account;
  std::optional<Revision> m_inForce;
  /// Why a newer version is not in force; empty when there is none.
  std::string m_pending;
};

/// One move as the node sees it.
struct NodeMove
{
  MoveId m_move;
  UpstreamVersion m_from;
  UpstreamVersion m_to;
  /// "planned", "moving", "holding", "done" or "taken-back".
  std::string m_state;
  std::map<DataCentreId, Share> m_shares;
  std::string m_reason;
  RouteName m_route;
  std::string m_time;
  CallCount m_calls;
};

/// See the file comment.
struct NodeStatus
{
  VmId m_vm;
  DataCentreId m_dataCentre;
  bool m_isDraining = false;
  bool m_isRelay = false;
  std::vector<NodeMember> m_members;
  std::vector<NodeAccount> m_accounts;
  std::vector<NodeMove> m_moves;
};

/// Errors: Malformed. Thread safety: any thread.
Result<NodeStatus>
DecodeNodeStatus(std::string_view aText);

/// One node that was asked.
struct AskedNode
{
  NetworkAddress m_address;
  Result<NodeStatus> m_status;
};

/// Asks every node of the session, one after the other.
std::vector<AskedNode>
AskNodes(CtlSession& aSession);

/// The first status that came. Errors: those of the last node asked, and
/// InvalidArgument when no node is given.
Result<NodeStatus>
FirstStatus(CtlSession& aSession);

} // namespace tarragontray
