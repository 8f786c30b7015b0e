/// \file
/// Reads the outcomes of moves from the platform: the objects
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

/// The outcome of a move that has ended.
struct StoredOutcome
{
  MoveId m_move;
  /// "done" or "taken-back".
  std::string m_state;
  std::string m_time;
  std::string m_route;
  std::string m_reason;
};

/// Reads the outcomes of all moves of an account. Skips objects that do not
/// decode. Errors: those of the platform.
Result<std::vector<StoredOutcome>>
ReadOutcomes(CtlSession& aSession, const ClientAccountId& aAccount);

/// Reads the outcome of one move; nothing when there is none or when its object
/// does not decode. Errors: those of the platform.
Result<std::optional<StoredOutcome>>
ReadOutcome(CtlSession& aSession, const MoveId& aMove);

} // namespace tarragontray
