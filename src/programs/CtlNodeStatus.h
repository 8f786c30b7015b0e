/// \file
/// The fields of a node's answer to GET /status that the command line uses.
///
///     Result<NodeStatus> status = DecodeNodeStatus(text);
///
/// Unknown fields are ignored, so that the status of newer nodes can be
/// decoded. Missing fields keep empty values.
///
/// Thread safety: the types are values; DecodeNodeStatus may be called on any
/// thread; AskNodes and FirstStatus use the session and belong on its thread.
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

/// One VM in the node's view of the membership.
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
  /// The newer version that is not in force and the reason; empty if there is
  /// none.
  std::string m_pending;
};

/// One move in the node's view.
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

/// The decoded status of one node; see the file comment.
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

/// Errors: Malformed if the text is not a JSON object.
Result<NodeStatus>
DecodeNodeStatus(std::string_view aText);

/// A node's status, or why it could not be read.
struct AskedNode
{
  NetworkAddress m_address;
  Result<NodeStatus> m_status;
};

/// Reads the status of every node of the session, one after the other.
std::vector<AskedNode>
AskNodes(CtlSession& aSession);

/// The status of the first node, in the order given, whose status can be read.
/// Errors: those of the last node, and InvalidArgument if the session has no
/// nodes.
Result<NodeStatus>
FirstStatus(CtlSession& aSession);

} // namespace tarragontray
