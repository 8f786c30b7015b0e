/// \file
/// Frames of a peer link: a 4-byte big-endian length, then one message.
///
/// A message is decoded completely or rejected: its payload must have the
/// length of the header, and decoding must consume all of it.
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

/// Decodes the length of the payload. Errors: TooLarge, Malformed (empty
/// frame).
Result<std::size_t>
FrameLength(const std::array<unsigned char, kFrameHeaderBytes>& aHeader,
            const std::string& aPeer);

/// Decodes one message. Errors: Malformed.
Result<PeerMessage>
DecodeMessage(std::string_view aPayload, const std::string& aPeer);

} // namespace tarragontray
