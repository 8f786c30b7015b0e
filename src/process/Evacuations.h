/// \file
/// The data centres whose upstreams must not receive calls.
///
/// An object "evacuations/DATA-CENTRE" asks for the evacuation of a data centre
/// until it is deleted; its content is not read. A node keeps what it has
/// learned while it can't reach the platform, and passes it on to its peers as
/// it does with any other document.
///
///     Evacuations evacuations;
///     if (evacuations.Offer(documents)) {
///       guard.SetEvacuated(evacuations.Contains(ownDataCentre), now);
///     }
///
/// Thread safety: not thread-safe; belongs to the control thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

#include "base/Ids.h"
#include "version/Document.h"

namespace tarragontray {

/// See the file comment.
class Evacuations
{
public:
  /// Further data centres are ignored and counted.
  static constexpr std::size_t kMaxDataCentres = 256;

  /// Adds the data centres of objects that exist and removes those of deleted
  /// ones. Ignores other keys. \return whether a data centre was added or
  /// removed.
  bool Offer(const std::vector<Document>& aDocuments);

  bool Contains(const DataCentreId& aDataCentre) const
  {
    return m_dataCentres.contains(aDataCentre);
  }
  const std::set<DataCentreId>& DataCentres() const { return m_dataCentres; }
  /// The number of objects that were ignored because of kMaxDataCentres.
  std::uint64_t Refused() const { return m_refused; }

private:
  std::set<DataCentreId> m_dataCentres;
  std::uint64_t m_refused = 0;
};

} // namespace tarragontray
