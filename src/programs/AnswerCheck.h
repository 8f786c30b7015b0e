/// \file
/// What an answer says, and whether it is the whole answer to its call.
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

/// What the caller knows after an answer.
enum class AnswerKind : std::uint8_t
{
  /// The whole answer to the call.
  Done,
  /// Ran, and the upstream answered with an error status.
  Failed,
  /// Said not to have run.
  NotRun,
  /// Said that it may have run.
  Unknown,
  /// No answer came: the connection failed or the time ran out.
  Lost,
  /// An answer that is cut, to another call, or not as documented.
  Wrong,
};

inline constexpr std::size_t kAnswerKinds = 6;

std::string_view
Name(AnswerKind aKind);

/// A call as far as its answer is checked.
struct SentCall
{
  OperationId m_operation;
  std::uint64_t m_requestHash = 0;
};

struct AnswerVerdict
{
  AnswerKind m_kind = AnswerKind::Lost;
  /// For Done.
  UpstreamVersion m_version;
  VmId m_vm;
  /// For the others: why.
  std::string m_detail;
};

/// \param aIsDirect the answer comes straight from an upstream, without the
/// node's headers.
AnswerVerdict
CheckAnswer(const SentCall& aCall,
            const Result<HttpAnswerParts>& aAnswer,
            bool aIsDirect);

} // namespace tarragontray
