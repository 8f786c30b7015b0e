/// \file
/// Messages by which a node learns how old its configuration may be, and gets
/// tokens for calls of accounts with a rate. design/accounts.md describes the
/// exchange. The encoding is in connection/FrameCodec.h.
///
/// Thread safety: values.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"

namespace tarragontray {

/// Permission for calls, in thousandths of a call.
using Tokens = Amount<struct TokensTag>;
inline constexpr std::uint64_t kTokensPerCall = 1000;

/// What the sender of a LeaseRequest asks for.
enum class LeaseKind : std::uint8_t
{
  /// The age of the receiver's confirmation only.
  Age,
  /// Also tokens from the pool of the sender's data centre.
  Pool,
  /// Tokens that the pool of another data centre can spare.
  Transfer,
};

struct TokenAmount
{
  ClientAccountId m_account;
  Tokens m_tokens;

  bool operator==(const TokenAmount&) const = default;
};

/// When a coordinator handled a request: the process, and the time on its boot
/// clock. Only that process can interpret the time.
struct LeaseStamp
{
  Incarnation m_coordinator;
  Duration m_time{ 0 };

  bool operator==(const LeaseStamp&) const = default;
};

/// Asks for the age of the receiver's confirmation, and for tokens.
struct LeaseRequest
{
  CallId m_id;
  LeaseKind m_kind = LeaseKind::Age;
  VmId m_node;
  Incarnation m_incarnation;
  /// The front thread that asks, and how many there are; each has an equal part
  /// of its node's share.
  std::uint32_t m_front = 0;
  std::uint32_t m_fronts = 1;
  /// Rises with each request of this front thread, so that a late one is
  /// recognized.
  std::uint64_t m_number = 0;
  /// The version of the configuration that the sender uses.
  Revision m_configuration;
  /// How long the sender's share has counted at no other coordinator.
  Duration m_exclusiveFor{ 0 };
  /// The stamp of this coordinator's last reply; limits how long a delayed
  /// request counts.
  LeaseStamp m_echo;
  std::vector<TokenAmount> m_wanted;

  bool operator==(const LeaseRequest&) const = default;
};

struct TokenGrant
{
  ClientAccountId m_account;
  Tokens m_tokens;
  /// When the pool will have the next whole token.
  Duration m_next{ 0 };
  /// The pool has enough that unused tokens are no loss.
  bool m_isPlentiful = false;

  bool operator==(const TokenGrant&) const = default;
};

/// Answers a LeaseRequest.
struct LeaseReply
{
  CallId m_id;
  LeaseStamp m_stamp;
  /// How long ago the store held no configuration newer than m_confirmed; not
  /// set when the sender doesn't know.
  std::optional<Duration> m_age;
  Revision m_confirmed;
  std::vector<TokenGrant> m_granted;

  bool operator==(const LeaseReply&) const = default;
};

} // namespace tarragontray
