/// \file
/// Encoding of gossip datagrams (UDP) and of anti-entropy pulls (TCP).
///
///     std::string bytes = EncodeDatagram(datagram);
///     Result<Datagram> read = DecodeDatagram(bytes, "127.0.1.1:7000");
///
/// Each message starts with its format byte. Integers are varints. Text that
/// repeats (data centres, services, versions) is written once and then
/// referenced by its index in the message. Decoding never reads past the input,
/// and its size bounds the memory that is allocated.
///
/// Thread safety: pure functions.
#pragma once

#include <string>
#include <string_view>

#include "base/Result.h"
#include "process/Datagram.h"
#include "process/Pull.h"

namespace tarragontray {

/// Encodes one datagram.
std::string
EncodeDatagram(const Datagram& aDatagram);
/// Decodes one datagram. Errors: Malformed.
/// \param aPeer sender, for the error.
Result<Datagram>
DecodeDatagram(std::string_view aBytes, std::string_view aPeer);

std::string
EncodePullRequest(const PullRequest& aRequest);
/// Errors: Malformed.
Result<PullRequest>
DecodePullRequest(std::string_view aBytes, std::string_view aPeer);

std::string
EncodePullAnswer(const PullAnswer& aAnswer);
/// Errors: Malformed.
Result<PullAnswer>
DecodePullAnswer(std::string_view aBytes, std::string_view aPeer);

} // namespace tarragontray
