/// \file
/// Reviews a change of an account's configuration and writes it to the
/// platform.
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

/// A change that has passed all checks and can be written.
struct ReviewedChange
{
  AccountParameters m_parameters;
  /// The object's new body, in its canonical form.
  std::string m_body;
  /// The object that the change replaces; not set for the account's first
  /// configuration.
  std::optional<PlatformObject> m_current;
  std::vector<std::string> m_warnings;
};

/// An account's configuration object, decoded and expanded.
struct CurrentConfiguration
{
  PlatformObject m_object;
  AccountParameters m_parameters;
  Configuration m_configuration;
};

/// Reads an account's configuration object from the platform and expands it.
/// Errors: NotFound, those of the platform, and InvalidArgument when the
/// object does not expand.
Result<CurrentConfiguration>
ReadConfiguration(CtlSession& aSession, const ClientAccountId& aAccount);

/// Returns the account's moves with the outcome "done". Errors: those of the
/// platform.
Result<std::set<MoveId>>
ReadDoneMoves(CtlSession& aSession, const ClientAccountId& aAccount);

/// Checks the parameters on their own, expanded with their template, and as a
/// change of the version in the platform. When that version does not expand,
/// the checks against it are skipped with a warning. Errors: InvalidArgument
/// with the path of the field; those of the platform.
Result<ReviewedChange>
ReviewChange(CtlSession& aSession, const AccountParameters& aParameters);

/// Adds the current version to the history, then writes the new version if the
/// current version is still aExpected. Otherwise the race is lost, which is not
/// an error: the output has kExitLostRace, the current version and the
/// differences from it.
/// \param aExpected the version that the change is based on; not set: the
/// version that ReviewChange read.
/// Errors: Conflict when other operators keep changing the history; Malformed
/// when the history does not decode; Unavailable when it is unknown whether the
/// new version was written; those of the platform.
Result<CtlOutput>
ApplyChange(CtlSession& aSession,
            const ReviewedChange& aChange,
            std::optional<Revision> aExpected);

/// Checks that --wait comes with at least one --node. Errors: InvalidArgument.
Result<void>
CheckWait(const CtlContext& aContext);

/// With --wait, polls the nodes of --node until the account's current version
/// is in force on all of them or --wait-ms has passed, and adds the result to
/// aApplied, the output of ApplyChange. Nodes that still miss the version give
/// kExitFailed. Returns aApplied unchanged without --wait or when the change
/// was not applied. Errors: those of the platform.
Result<CtlOutput>
FinishChange(const CtlContext& aContext,
             const ClientAccountId& aAccount,
             CtlOutput aApplied);

} // namespace tarragontray
