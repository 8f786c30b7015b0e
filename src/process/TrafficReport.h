/// \file
/// What traffic threads post to the control thread, in batches.
///
/// Thread safety: values.
#pragma once

#include <map>
#include <vector>

#include "process/Ledger.h"
#include "request/CallPlan.h"

namespace tarragontray {

/// Observations of calls of moving services, from a front thread.
struct ObservationBatch
{
  std::vector<AttemptObservation> m_observations;
};

/// Usage of this node's upstream, from the guard thread.
struct UsageBatch
{
  std::map<UsageKey, Usage> m_usage;
};

} // namespace tarragontray
