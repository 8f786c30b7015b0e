/// \file
/// The replicated progress of a move, which nodes merge without consensus.
///
/// Within an epoch a data centre's share only rises. A coordinator that needs
/// traffic on the old version for a comparison starts the next epoch with a
/// lower share. A veto takes precedence over every epoch and share. Merge is
/// the join of a semilattice (commutative, associative and idempotent), as in
/// state-based CRDTs (Shapiro et al., 2011): a paused, stale or duplicate
/// coordinator cannot undo a veto.
///
/// Thread safety: values.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/Ids.h"
#include "base/Units.h"

namespace tarragontray {

/// When and why a move was rolled back.
struct Veto
{
  WallTime m_time{};
  DataCentreId m_dataCentre;
  RouteName m_route;
  /// The evidence in one line, for example "failures new=12/40 old=1/400".
  std::string m_reason;

  auto operator<=>(const Veto&) const = default;
};

/// The number of times that a data centre's share was lowered for a
/// comparison.
using ProgressEpoch = Amount<struct ProgressEpochTag, std::uint32_t>;

/// The progress of one data centre.
struct DataCentreProgress
{
  /// The higher epoch wins; within one epoch the higher share wins.
  ProgressEpoch m_epoch;
  Share m_share = Share::None();
  /// When this data centre reached the full share in this epoch.
  std::optional<WallTime> m_fullShareSince;

  bool operator==(const DataCentreProgress&) const = default;
};

/// The progress of one move in all data centres.
struct MoveProgress
{
  MoveId m_move;
  std::map<DataCentreId, DataCentreProgress> m_dataCentres;
  std::optional<Veto> m_veto;

  bool operator==(const MoveProgress&) const = default;
};

/// Merges aFrom into aInto. \return true if aInto changed.
/// Precondition: both belong to the same move.
bool
Merge(MoveProgress& aInto, const MoveProgress& aFrom);

/// The share of calls that the data centre's nodes send to the new version:
/// none after a veto, otherwise the data centre's recorded share.
Share
EffectiveShare(const MoveProgress& aProgress, const DataCentreId& aDataCentre);

} // namespace tarragontray
