/// \file
/// How a document reached this node, for logs and status.
///
/// Thread safety: values.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/Ids.h"
#include "base/Units.h"

namespace tarragontray {

enum class DocumentChannel : std::uint8_t
{
  /// A change reported by a watch at the platform.
  Watch,
  /// A listing of the platform.
  List,
  /// The answer of a peer to a pull.
  Pull,
  /// A datagram from a peer.
  Gossip,
};

/// "watch", "list", "pull" or "gossip".
constexpr std::string_view
Name(DocumentChannel aChannel)
{
  switch (aChannel) {
    case DocumentChannel::Watch:
      return "watch";
    case DocumentChannel::List:
      return "list";
    case DocumentChannel::Pull:
      return "pull";
    case DocumentChannel::Gossip:
      return "gossip";
  }
  return "unknown";
}

struct DocumentOrigin
{
  DocumentChannel m_channel = DocumentChannel::Watch;
  /// Empty when the document came from the platform.
  VmId m_peer;
  /// How long ago the platform had last answered a read of the key's prefix
  /// when the document arrived; unset when it had not answered yet.
  std::optional<Duration> m_platformAge;
};

} // namespace tarragontray
