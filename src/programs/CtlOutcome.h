/// \file
/// The outcome of a move as the platform holds it:
/// "moves/ACCOUNT/SERVICE/PLAN".
///
///     BOOST_OUTCOME_TRY(auto outcomes, ReadOutcomes(session, account));
///
/// Thread safety: one thread.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/Result.h"
#include "programs/CtlSession.h"

namespace tarragontray {

/// One move that ended.
struct StoredOutcome
{
  MoveId m_move;
  /// "done" or "taken-back".
  std::string m_state;
  std::string m_time;
  std::string m_route;
  std::string m_reason;
};

/// All outcomes of an account's moves; objects that do not decode are left
/// out. Errors: those of the platform.
Result<std::vector<StoredOutcome>>
ReadOutcomes(CtlSession& aSession, const ClientAccountId& aAccount);

/// One outcome, or nothing while the move has none.
Result<std::optional<StoredOutcome>>
ReadOutcome(CtlSession& aSession, const MoveId& aMove);

} // namespace tarragontray
