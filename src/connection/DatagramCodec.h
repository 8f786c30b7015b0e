/// \file
/// Encodes what nodes send each other over UDP, and the pulls over TCP.
///
///     std::string bytes = EncodeDatagram(datagram);
///     Result<Datagram> read = DecodeDatagram(bytes, "127.0.1.1:7000");
///
/// Each message starts with its format byte. Whole numbers are varints. Text
/// that repeats (data centres, services, versions) is written once and then
/// named by its number in the message. Decoding never reads past the bytes and
/// allocates no more than their size warrants.
///
/// Thread safety: pure functions.
#pragma once

#include <string>
#include <string_view>

#include "base/Result.h"
#include "process/Datagram.h"
#include "process/Pull.h"

namespace tarragontray {

/// The bytes of one datagram.
std::string
EncodeDatagram(const Datagram& aDatagram);
/// \param aPeer names the sender in the error. Errors: Malformed.
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
