/// \file
/// Frames of a peer link: a 4-byte big-endian length, then one message.
///
/// The length and the check that a message's bytes are all used make every
/// answer whole or nothing.
///
///     std::string out;
///     AppendFrame(out, PeerMessage(LinkPing{ 7 }));
///     Result<std::size_t> length = FrameLength(header, peer);
///     Result<PeerMessage> message = DecodeMessage(payload, peer);
///
/// Thread safety: pure functions.
#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

#include "base/Result.h"
#include "connection/PeerMessages.h"

namespace tarragontray {

inline constexpr std::size_t kFrameHeaderBytes = 4;

/// Appends the frame of one message to aBytes.
void
AppendFrame(std::string& aBytes, const PeerMessage& aMessage);

/// The payload's length. Errors: TooLarge, Malformed (an empty frame).
Result<std::size_t>
FrameLength(const std::array<unsigned char, kFrameHeaderBytes>& aHeader,
            const std::string& aPeer);

/// Reads one message. Errors: Malformed.
Result<PeerMessage>
DecodeMessage(std::string_view aPayload, const std::string& aPeer);

} // namespace tarragontray
