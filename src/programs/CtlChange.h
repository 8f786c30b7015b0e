/// \file
/// A change of an account's configuration, from the file to the platform.
///
///     BOOST_OUTCOME_TRY(auto change, ReviewChange(session, parameters));
///     Result<CtlOutput> output = ApplyChange(session, change, expected);
///
/// Thread safety: one thread.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/Result.h"
#include "programs/CtlCommand.h"
#include "programs/CtlSession.h"
#include "version/AccountParameters.h"
#include "version/Configuration.h"

namespace tarragontray {

/// A change that keeps all rules, ready to be written.
struct ReviewedChange
{
  AccountParameters m_parameters;
  /// The object's new body, in its canonical form.
  std::string m_body;
  /// The object that the change replaces; not set for the account's first.
  std::optional<PlatformObject> m_current;
  std::vector<std::string> m_warnings;
};

/// The account's object and what it expands to.
struct CurrentConfiguration
{
  PlatformObject m_object;
  AccountParameters m_parameters;
  Configuration m_configuration;
};

/// Reads and expands what the platform holds for an account. Errors: NotFound,
/// those of the platform, and InvalidArgument when it does not expand.
Result<CurrentConfiguration>
ReadConfiguration(CtlSession& aSession, const ClientAccountId& aAccount);

/// The account's moves whose outcome is done. Errors: those of the platform.
Result<std::set<MoveId>>
ReadDoneMoves(CtlSession& aSession, const ClientAccountId& aAccount);

/// Checks the parameters by themselves, with their template, and against the
/// version in the platform. Errors: InvalidArgument with the field's path, and
/// those of the platform.
Result<ReviewedChange>
ReviewChange(CtlSession& aSession, const AccountParameters& aParameters);

/// Keeps the current version in the history and writes the new one.
/// \param aExpected the version that the change was made from; not set: the
/// one that the review read. A lost race is no error: the output names the
/// current version and the difference, with kExitLostRace.
Result<CtlOutput>
ApplyChange(CtlSession& aSession,
            const ReviewedChange& aChange,
            std::optional<Revision> aExpected);

/// Refuses --wait without --node. Errors: InvalidArgument.
Result<void>
CheckWait(const CtlContext& aContext);

/// What ApplyChange gave, after waiting for the nodes given to have the
/// account's current version in force, when --wait asks for it.
Result<CtlOutput>
FinishChange(const CtlContext& aContext,
             const ClientAccountId& aAccount,
             CtlOutput aApplied);

} // namespace tarragontray
