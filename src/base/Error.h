/// \file
/// Errors as values. Each names the operation that failed and the peer
/// involved.
///
///     return Error(ErrorCode::Timeout, "platform.watch", "127.0.0.1:7000",
///                  "no answer within 5000 ms");
///
/// Thread safety: values; concurrent reads are safe.
#pragma once

#include <string>
#include <string_view>
#include <utility>

namespace tarragontray {

/// The kinds of error that callers can distinguish.
enum class ErrorCode
{
  /// The input violates a documented rule.
  InvalidArgument,
  /// The bytes cannot be decoded.
  Malformed,
  /// A size exceeds its limit.
  TooLarge,
  /// The time limit has expired.
  Timeout,
  /// No connection could be established.
  Unreachable,
  /// The connection closed before the response was complete.
  Closed,
  /// A conditional update failed because another writer changed the object.
  Conflict,
  /// No object or name of this kind exists.
  NotFound,
  /// The peer is reachable but is not serving requests at present.
  Unavailable,
  /// The peer refused the request and did not run it.
  Refused,
  /// The requested revisions are older than the retained history.
  HistoryGone,
  /// A defect in this program.
  Internal,
};

/// The stable name of a code, as it appears in logs and JSON.
std::string_view
Name(ErrorCode aCode);

/// An error code with the failed operation, the peer and a detail.
class Error
{
public:
  /// \param aStep the operation, as "component.operation", for example
  /// "link.connect".
  /// \param aPeer the peer's address or name; empty for local operations.
  Error(ErrorCode aCode,
        std::string aStep,
        std::string aPeer,
        std::string aDetail)
    : m_code(aCode)
    , m_step(std::move(aStep))
    , m_peer(std::move(aPeer))
    , m_detail(std::move(aDetail))
  {
  }

  ErrorCode Code() const { return m_code; }
  const std::string& Step() const { return m_step; }
  const std::string& Peer() const { return m_peer; }
  const std::string& Detail() const { return m_detail; }

  /// One line of key=value fields: code, step, peer and detail. An empty peer
  /// or detail is left out.
  std::string Message() const;

private:
  ErrorCode m_code;
  std::string m_step;
  std::string m_peer;
  std::string m_detail;
};

} // namespace tarragontray
