/// \file
/// Messages of a peer link: calls from one node to another, and their answers.
///
/// One TCP link carries many concurrent calls; m_id matches an answer to its
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
#include "connection/LeaseMessages.h"
#include "request/Call.h"

namespace tarragontray {

/// The largest message of a link: a body of 1 MB and its headers fit.
inline constexpr std::size_t kMaxFrameBytes = 2U << 20U;

/// Cancels a call whose caller has disconnected or whose deadline has passed.
struct CancelCall
{
  CallId m_id;
  /// The caller still waits: only a call that has not started is cancelled, and
  /// answered with NotRun.
  bool m_onlyIfWaiting = false;
};

/// Queries the status of an operation. If the guard has not received the
/// operation, it withdraws it: it refuses the operation from then on.
struct OperationQuery
{
  CallId m_id;
  ClientAccountId m_caller;
  OperationId m_operation;
  /// The attempt whose answer was lost.
  std::uint8_t m_attempt = 1;
  /// Incarnation of the node to which the attempt was sent.
  Incarnation m_sentTo;
};

/// The answer to an OperationQuery.
struct OperationReply
{
  CallId m_id;
  OperationStatus m_status = OperationStatus::Forgotten;
  /// Set when m_status is Done: the stored answer.
  std::optional<Answer> m_answer;
};

/// Requests a LinkPong, which shows that the link works.
struct LinkPing
{
  std::uint32_t m_number = 0;
};

/// Answers a LinkPing.
struct LinkPong
{
  std::uint32_t m_number = 0;
};

/// The sender is shutting down: no new call may be sent to it. The receiver
/// closes the link once it has no pending exchange.
struct LinkLeaving
{};

/// Requests the receiver's state for anti-entropy; the control thread encodes
/// m_bytes.
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

/// Requests a piece of a call's deferred body from its entry node.
struct BodyRequest
{
  CallId m_id;
  ByteCount m_offset;
  ByteCount m_size;
};

/// Answers a BodyRequest: the piece that follows those sent before.
struct BodyData
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
                                 LinkLeaving,
                                 BodyRequest,
                                 BodyData,
                                 LeaseRequest,
                                 LeaseReply>;

} // namespace tarragontray
