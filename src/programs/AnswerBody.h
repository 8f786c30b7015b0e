/// \file
/// The body that standin-upstream answers with, and its check.
///
/// The first line names the operation, the version, the VM, the hash of the
/// request's body, and the size and hash of the filler that follows. A checker
/// can so tell whether the answer is whole and is the one to its own request.
///
///     std::string body = MakeAnswerBody({ operation, version, vm, hash },
///     1024); std::optional<AnswerIdentity> identity = ReadAnswerBody(body);
///
/// Thread safety: pure functions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/Ids.h"

namespace tarragontray {

/// What an answer says of itself.
struct AnswerIdentity
{
  OperationId m_operation;
  UpstreamVersion m_version;
  VmId m_vm;
  /// StableHash of the request's body.
  std::uint64_t m_requestHash = 0;

  bool operator==(const AnswerIdentity&) const = default;
};

/// Precondition: the ids hold no spaces.
std::string
MakeAnswerBody(const AnswerIdentity& aIdentity, std::size_t aFillerBytes);

/// Nothing when the body is cut, garbled or of another kind.
std::optional<AnswerIdentity>
ReadAnswerBody(std::string_view aBody);

} // namespace tarragontray
