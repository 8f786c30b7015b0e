#include "process/DatagramMerge.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "process/DatagramSize.h"

namespace tarragontray {

namespace {

template<typename T>
void
Append(std::vector<T>& aInto, const std::vector<T>& aFrom)
{
  aInto.insert(aInto.end(), aFrom.begin(), aFrom.end());
}

Datagram
Joined(const Datagram& aLeft, const Datagram& aRight)
{
  Datagram joined = aLeft;
  if (!joined.m_digest) {
    joined.m_digest = aRight.m_digest;
  }
  Append(joined.m_members, aRight.m_members);
  Append(joined.m_documents, aRight.m_documents);
  Append(joined.m_moves, aRight.m_moves);
  Append(joined.m_evidence, aRight.m_evidence);
  return joined;
}

bool
TryMerge(OutgoingDatagram& aInto, const OutgoingDatagram& aFrom)
{
  if (aInto.m_to != aFrom.m_to ||
      aInto.m_datagram.m_path != aFrom.m_datagram.m_path ||
      aFrom.m_datagram.m_kind != DatagramKind::Update) {
    return false;
  }
  Datagram joined = Joined(aInto.m_datagram, aFrom.m_datagram);
  if (EncodedSize(joined) > kMaxDatagramBytes) {
    return false;
  }
  aInto.m_datagram = std::move(joined);
  return true;
}

} // namespace

std::vector<OutgoingDatagram>
MergeDatagrams(std::vector<OutgoingDatagram> aSend)
{
  std::vector<OutgoingDatagram> merged;
  merged.reserve(aSend.size());
  for (OutgoingDatagram& datagram : aSend) {
    const bool isMerged =
      std::any_of(merged.begin(), merged.end(), [&](OutgoingDatagram& aInto) {
        return TryMerge(aInto, datagram);
      });
    if (!isMerged) {
      merged.push_back(std::move(datagram));
    }
  }
  return merged;
}

} // namespace tarragontray
