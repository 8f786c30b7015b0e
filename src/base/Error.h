/// \file
/// Errors as values. Each carries the step and the peer at which it arose.
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

/// The kinds of error that a caller may want to tell apart.
enum class ErrorCode
{
  /// The input breaks a documented rule.
  InvalidArgument,
  /// The bytes do not decode.
  Malformed,
  /// A size is over its bound.
  TooLarge,
  /// The time allowed has passed.
  Timeout,
  /// No connection could be made.
  Unreachable,
  /// The connection ended before the answer was whole.
  Closed,
  /// A conditional update lost against another writer.
  Conflict,
  /// The object or the name does not exist.
  NotFound,
  /// The peer is there but does not serve now.
  Unavailable,
  /// The peer refused: the work was not run.
  Refused,
  /// The past that was asked for is no longer kept.
  HistoryGone,
  /// A fault of this program.
  Internal,
};

/// The stable name of a code, as it appears in logs and JSON.
std::string_view
Name(ErrorCode aCode);

/// What failed, at which step, with which peer.
class Error
{
public:
  /// \param aStep the operation, as "part.step", for example "link.connect".
  /// \param aPeer address or name of the other side; empty for local steps.
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

  /// One line: code, step, peer and detail as key=value fields.
  std::string Message() const;

private:
  ErrorCode m_code;
  std::string m_step;
  std::string m_peer;
  std::string m_detail;
};

} // namespace tarragontray
