#include "version/MoveProgress.h"

#include <algorithm>

namespace tarragontray {

namespace {

bool
MergeDataCentre(DataCentreProgress& aInto, const DataCentreProgress& aFrom)
{
  if (aFrom.m_epoch != aInto.m_epoch) {
    const bool isNewer = aFrom.m_epoch > aInto.m_epoch;
    aInto = isNewer ? aFrom : aInto;
    return isNewer;
  }
  const DataCentreProgress before = aInto;
  aInto.m_share = std::max(aInto.m_share, aFrom.m_share);
  if (aFrom.m_fullShareSince) {
    aInto.m_fullShareSince =
      aInto.m_fullShareSince
        ? std::min(*aInto.m_fullShareSince, *aFrom.m_fullShareSince)
        : *aFrom.m_fullShareSince;
  }
  return aInto != before;
}

} // namespace

bool
Merge(MoveProgress& aInto, const MoveProgress& aFrom)
{
  bool changed = false;
  for (const auto& [dataCentre, progress] : aFrom.m_dataCentres) {
    const auto [entry, isNew] =
      aInto.m_dataCentres.try_emplace(dataCentre, progress);
    changed |= isNew || MergeDataCentre(entry->second, progress);
  }
  // The earliest veto stays, so that every node gives the same reason.
  if (aFrom.m_veto && (!aInto.m_veto || *aFrom.m_veto < *aInto.m_veto)) {
    aInto.m_veto = aFrom.m_veto;
    changed = true;
  }
  return changed;
}

Share
EffectiveShare(const MoveProgress& aProgress, const DataCentreId& aDataCentre)
{
  if (aProgress.m_veto) {
    return Share::None();
  }
  const auto found = aProgress.m_dataCentres.find(aDataCentre);
  return found == aProgress.m_dataCentres.end() ? Share::None()
                                                : found->second.m_share;
}

} // namespace tarragontray
