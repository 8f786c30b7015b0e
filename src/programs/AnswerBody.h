/// \file
/// Encoder and decoder of the response bodies of standin-upstream.
///
/// The first line holds the operation, the version, the VM, the hash of the
/// request body, and the size and checksum of the filler that follows. A client
/// uses them to verify that a response is intact and belongs to its request.
///
///     AnswerIdentity identity{ operation, version, vm, requestHash };
///     std::string body = MakeAnswerBody(identity, 1024);
///     std::optional<AnswerIdentity> decoded = ReadAnswerBody(body);
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

/// The request that a response belongs to and the upstream that produced it.
struct AnswerIdentity
{
  OperationId m_operation;
  UpstreamVersion m_version;
  VmId m_vm;
  /// StableHash of the request body.
  std::uint64_t m_requestHash = 0;

  bool operator==(const AnswerIdentity&) const = default;
};

/// Returns a body with aFillerBytes bytes of filler after the first line.
/// Precondition: the ids contain no spaces.
std::string
MakeAnswerBody(const AnswerIdentity& aIdentity, std::size_t aFillerBytes);

/// Returns nullopt if the body is truncated, corrupt or in another format.
std::optional<AnswerIdentity>
ReadAnswerBody(std::string_view aBody);

} // namespace tarragontray
