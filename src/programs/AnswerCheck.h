/// \file
/// Classifies the response to a call and verifies that it is intact and belongs
/// to that call.
///
///     AnswerVerdict verdict = CheckAnswer(call, answer, /*aIsDirect=*/false);
///
/// Thread safety: pure functions.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/Ids.h"
#include "base/Result.h"
#include "request/Call.h"

namespace tarragontray {

/// The result of a call from the point of view of its caller.
enum class AnswerKind : std::uint8_t
{
  /// The call ran, and its response is intact.
  Done,
  /// The call ran, and the upstream responded with an error status.
  Failed,
  /// The response reports that the call did not run.
  NotRun,
  /// The response reports that the call may have run.
  Unknown,
  /// No response: the connection failed or the call timed out.
  Lost,
  /// The response is truncated or corrupt, belongs to another call, or lacks
  /// the documented headers.
  Wrong,
};

inline constexpr std::size_t kAnswerKinds = 6;

std::string_view
Name(AnswerKind aKind);

/// The properties of a call that its response is checked against.
struct SentCall
{
  OperationId m_operation;
  /// StableHash of the request body.
  std::uint64_t m_requestHash = 0;
};

/// The classification of one response.
struct AnswerVerdict
{
  AnswerKind m_kind = AnswerKind::Lost;
  /// Set for Done only: the upstream that ran the call.
  UpstreamVersion m_version;
  VmId m_vm;
  /// The reason, for every kind but Done.
  std::string m_detail;
};

/// \param aIsDirect the response comes directly from an upstream, without the
/// headers that a node adds.
AnswerVerdict
CheckAnswer(const SentCall& aCall,
            const Result<HttpAnswerParts>& aAnswer,
            bool aIsDirect);

} // namespace tarragontray
