/// \file
/// Batches of data that traffic threads post to the control thread.
///
/// Thread safety: plain values without synchronisation.
#pragma once

#include <map>
#include <vector>

#include "process/Ledger.h"
#include "request/CallPlan.h"

namespace tarragontray {

/// A front thread's observations of calls to services with a move.
struct ObservationBatch
{
  std::vector<AttemptObservation> m_observations;
};

/// Usage of this node's upstream, measured by the guard thread.
struct UsageBatch
{
  std::map<UsageKey, Usage> m_usage;
};

} // namespace tarragontray
