/// \file
/// Combines datagrams for the same receiver to reduce the number of packets.
///
///     std::vector<OutgoingDatagram> merged = MergeDatagrams(std::move(send));
///
/// Thread safety: pure functions.
#pragma once

#include <vector>

#include "process/Datagram.h"

namespace tarragontray {

/// Merges each Update datagram into an earlier datagram for the same receiver
/// when both have the same path and the result fits into kMaxDatagramBytes.
/// The remaining datagrams keep their order.
std::vector<OutgoingDatagram>
MergeDatagrams(std::vector<OutgoingDatagram> aSend);

} // namespace tarragontray
