#include "process/Evacuations.h"

#include "version/ObjectKeys.h"

namespace tarragontray {

bool
Evacuations::Offer(const std::vector<Document>& aDocuments)
{
  bool isChanged = false;
  for (const Document& document : aDocuments) {
    const auto dataCentre = DataCentreOfEvacuationKey(document.m_key);
    if (!dataCentre) {
      continue;
    }
    if (document.m_body.empty()) {
      isChanged |= m_dataCentres.erase(*dataCentre) > 0;
      continue;
    }
    if (!Contains(*dataCentre) && m_dataCentres.size() >= kMaxDataCentres) {
      ++m_refused;
      continue;
    }
    isChanged |= m_dataCentres.insert(*dataCentre).second;
  }
  return isChanged;
}

} // namespace tarragontray
