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
Concatenate(const Datagram& aLeft, const Datagram& aRight)
{
  Datagram merged = aLeft;
  if (!merged.m_digest) {
    merged.m_digest = aRight.m_digest;
  }
  if (!merged.m_confirmed) {
    merged.m_confirmed = aRight.m_confirmed;
  }
  Append(merged.m_members, aRight.m_members);
  Append(merged.m_documents, aRight.m_documents);
  Append(merged.m_patches, aRight.m_patches);
  Append(merged.m_moves, aRight.m_moves);
  Append(merged.m_evidence, aRight.m_evidence);
  Append(merged.m_usage, aRight.m_usage);
  return merged;
}

bool
TryMerge(OutgoingDatagram& aInto, const OutgoingDatagram& aFrom)
{
  if (aInto.m_to != aFrom.m_to ||
      aInto.m_datagram.m_path != aFrom.m_datagram.m_path ||
      aFrom.m_datagram.m_kind != DatagramKind::Update) {
    return false;
  }
  Datagram merged = Concatenate(aInto.m_datagram, aFrom.m_datagram);
  if (EncodedSize(merged) > kMaxDatagramBytes) {
    return false;
  }
  aInto.m_datagram = std::move(merged);
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
