/// \file
/// The messages of a peer link: node A's calls to node B and their answers.
///
/// One TCP link carries many calls at once; m_id pairs an answer with its
/// call. The encoding is in connection/FrameCodec.h.
///
/// Thread safety: values.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "base/Ids.h"
#include "request/Call.h"

namespace tarragontray {

/// The largest message that a link carries: a body of 1 MB and its headers.
inline constexpr std::size_t kMaxFrameBytes = 2U << 20U;

/// The caller went away or its deadline passed.
struct CancelCall
{
  CallId m_id;
};

/// Asks what became of an operation; unless it was received, the guard
/// withdraws it and refuses it from then on.
struct OperationQuery
{
  CallId m_id;
  ClientAccountId m_caller;
  OperationId m_operation;
  /// The attempt that was lost.
  std::uint8_t m_attempt = 1;
  /// The incarnation that the attempt was sent to.
  Incarnation m_sentTo;
};

/// The answer to an OperationQuery.
struct OperationReply
{
  CallId m_id;
  OperationStatus m_status = OperationStatus::Forgotten;
  /// With Done: the kept answer.
  std::optional<Answer> m_answer;
};

/// Asks for a sign of life.
struct LinkPing
{
  std::uint32_t m_number = 0;
};

/// Answers a LinkPing.
struct LinkPong
{
  std::uint32_t m_number = 0;
};

/// The sender stops: no new call may be sent to it. The receiver closes the
/// link once it waits for nothing.
struct LinkLeaving
{};

/// Asks for the sender's state, as bytes that the control part encodes.
struct StateRequest
{
  CallId m_id;
  std::string m_bytes;
};

/// Answers a StateRequest.
struct StateReply
{
  CallId m_id;
  std::string m_bytes;
};

/// Any message of a link.
using PeerMessage = std::variant<Call,
                                 Answer,
                                 CancelCall,
                                 OperationQuery,
                                 OperationReply,
                                 LinkPing,
                                 LinkPong,
                                 StateRequest,
                                 StateReply,
                                 LinkLeaving>;

} // namespace tarragontray
