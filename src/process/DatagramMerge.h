/// \file
/// Puts datagrams for one receiver together where they fit.
///
///     std::vector<OutgoingDatagram> fewer = MergeDatagrams(std::move(send));
///
/// Thread safety: pure functions.
#pragma once

#include <vector>

#include "process/Datagram.h"

namespace tarragontray {

/// Merges each Update datagram into an earlier one for the same receiver when
/// both have the same path and the sum stays within kMaxDatagramBytes. Order
/// is kept otherwise.
std::vector<OutgoingDatagram>
MergeDatagrams(std::vector<OutgoingDatagram> aSend);

} // namespace tarragontray
