/// \file
/// Executes the steps of one CallPlan over peer links.
///
///     Answer answer = co_await RunCall(plan, call, context);
///
/// Thread safety: the traffic thread that owns the links.
#pragma once

#include <boost/asio/awaitable.hpp>

#include "base/Clock.h"
#include "connection/PeerLink.h"
#include "request/Call.h"
#include "request/CallPlan.h"

namespace tarragontray {

/// Runs a plan to its end.
/// \param aCall the call, without its id, version, attempt and remaining times,
/// which the runner and the link set for each attempt.
/// Precondition: aPlan is new; all references outlive the call.
boost::asio::awaitable<Answer>
RunCall(CallPlan& aPlan, Call aCall, PeerLinks& aLinks, const Clock& aClock);

} // namespace tarragontray
