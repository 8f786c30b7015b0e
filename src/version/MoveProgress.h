/// \file
/// How far a move is: a join, so that merging needs no leader.
///
/// A data centre's share rises within an epoch. A coordinator that needs the
/// old version's traffic for a comparison opens the next epoch with a lower
/// share. A veto outranks every epoch and share. Merge is commutative,
/// associative and idempotent: a paused, stale or doubled coordinator cannot
/// undo a veto (a join semilattice, as in state-based CRDTs; Shapiro et al.,
/// 2011).
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

/// Why and when a move was taken back.
struct Veto
{
  WallTime m_time{};
  DataCentreId m_dataCentre;
  RouteName m_route;
  /// Figures in one line, for example "failures new=12/40 old=1/400".
  std::string m_reason;

  auto operator<=>(const Veto&) const = default;
};

/// Counts the times a data centre's share was lowered for a comparison.
using ProgressEpoch = Amount<struct ProgressEpochTag, std::uint32_t>;

/// A data centre's own progress.
struct DataCentreProgress
{
  /// The higher epoch wins; within one epoch the higher share wins.
  ProgressEpoch m_epoch;
  Share m_share = Share::None();
  /// When this data centre reached the whole share in this epoch.
  std::optional<WallTime> m_fullShareSince;

  bool operator==(const DataCentreProgress&) const = default;
};

/// The state of one move.
struct MoveProgress
{
  MoveId m_move;
  std::map<DataCentreId, DataCentreProgress> m_dataCentres;
  std::optional<Veto> m_veto;

  bool operator==(const MoveProgress&) const = default;
};

/// Joins aFrom into aInto; true when aInto changed.
/// Precondition: both are of the same move.
bool
Merge(MoveProgress& aInto, const MoveProgress& aFrom);

/// The share that the data centre's nodes send to the new version: none after
/// a veto, else the data centre's own share.
Share
EffectiveShare(const MoveProgress& aProgress, const DataCentreId& aDataCentre);

} // namespace tarragontray
