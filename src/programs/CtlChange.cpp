#include "programs/CtlChange.h"

#include <set>
#include <utility>

#include <boost/json.hpp>

#include "programs/CtlFormat.h"
#include "programs/CtlNodeStatus.h"
#include "programs/CtlOutcome.h"
#include "version/ChangeValidation.h"
#include "version/ConfigurationHistory.h"
#include "version/ConfigurationJson.h"
#include "version/Expansion.h"
#include "version/JsonDifference.h"
#include "version/ObjectKeys.h"

namespace tarragontray {

namespace json = boost::json;

namespace {

constexpr int kMaxHistoryAttempts = 5;

/// Reads the template version that the parameters name. Errors:
/// InvalidArgument when it does not exist; those of DecodeTemplate and of the
/// platform.
Result<Template>
ReadTemplate(CtlSession& aSession, const AccountParameters& aParameters)
{
  const ObjectKey key =
    TemplateKey(aParameters.m_template, aParameters.m_templateVersion);
  Result<PlatformObject> object = aSession.Read(key);
  if (!object && object.error().Code() == ErrorCode::NotFound) {
    return Error(ErrorCode::InvalidArgument,
                 "configuration.review",
                 "",
                 "parameters.template_version: " + key.Value() +
                   " does not exist");
  }
  if (!object) {
    return object.error();
  }
  return DecodeTemplate(object.value().m_document.m_body);
}

/// Returns the slots of live upstreams by service and version, as the first
/// node that answers reports them. Empty when no node is given or none
/// answers: the review then gives no warnings about slots.
SlotsByVersion
ReadWarmSlots(CtlSession& aSession)
{
  SlotsByVersion slots;
  if (aSession.Nodes().empty()) {
    return slots;
  }
  const Result<NodeStatus> status = FirstStatus(aSession);
  if (!status) {
    return slots;
  }
  for (const NodeMember& member : status.value().m_members) {
    if (member.m_state == "alive" && member.m_upstreamState == "live") {
      slots[{ member.m_service, member.m_version }] += member.m_slots;
    }
  }
  return slots;
}

/// Adds the current version to the account's history. Repeats the
/// read-modify-write when another operator wrote the history in between, up to
/// kMaxHistoryAttempts times. Errors: Conflict after the last attempt; those of
/// the platform.
Result<void>
AddToHistory(CtlSession& aSession,
             const ClientAccountId& aAccount,
             const PlatformObject& aCurrent)
{
  const ObjectKey key(std::string(kHistoryPrefix) + aAccount.Value());
  for (int attempt = 0; attempt < kMaxHistoryAttempts; ++attempt) {
    BOOST_OUTCOME_TRY(const auto object, aSession.Find(key));
    ConfigurationHistory history;
    Revision expected;
    if (object) {
      expected = object->m_document.m_revision;
      BOOST_OUTCOME_TRY(
        history, ConfigurationHistory::Decode(object->m_document.m_body));
    }
    if (!history.Add({ aCurrent.m_document.m_revision,
                       aCurrent.m_operation,
                       aCurrent.m_document.m_body,
                       aSession.Now() })) {
      return Success();
    }
    const WriteReport report = aSession.Write(
      { key, history.Encode(), expected, aSession.NewOperation() });
    if (report.m_status == ConditionalWriteStatus::Written) {
      return Success();
    }
    if (report.m_error) {
      return *report.m_error;
    }
  }
  return Error(ErrorCode::Conflict,
               "history.write",
               "",
               "the history of " + aAccount.Value() +
                 " changed during each of " +
                 std::to_string(kMaxHistoryAttempts) + " attempts to write it");
}

/// The output for a write whose expected version is not the current one.
CtlOutput
LostRaceOutput(const ReviewedChange& aChange,
               const PlatformObject& aCurrent,
               const std::string& aNote)
{
  const auto compared = CompareJson(aChange.m_body, aCurrent.m_document.m_body);
  const std::vector<FieldDifference> differences =
    compared ? compared.value() : std::vector<FieldDifference>{};
  const std::string version =
    std::to_string(aCurrent.m_document.m_revision.Value());
  CtlOutput output;
  output.m_exitStatus = kExitLostRace;
  output.m_text = "lost race: the current version is " + version +
                  ", written by " + aCurrent.m_operation.Value() + "\n" +
                  (aNote.empty() ? "" : aNote + "\n") + "yours -> current:\n" +
                  TextOf(differences);
  output.m_json = json::serialize(
    json::object{ { "result", "lost-race" },
                  { "account", aChange.m_parameters.m_account.Value() },
                  { "current_version", aCurrent.m_document.m_revision.Value() },
                  { "current_operation", aCurrent.m_operation.Value() },
                  { "note", aNote },
                  { "differences", json::parse(JsonOf(differences)) } });
  return output;
}

/// Describes the outcome of a write whose answer was lost and whose object has
/// since been replaced: the change was in force if the history has an entry
/// for its operation.
std::string
DescribeReplacement(CtlSession& aSession,
                    const ClientAccountId& aAccount,
                    const OperationId& aOperation)
{
  const auto object =
    aSession.Find(ObjectKey(std::string(kHistoryPrefix) + aAccount.Value()));
  if (!object || !object.value()) {
    return "the answer was lost: the change may have been in force";
  }
  const auto history =
    ConfigurationHistory::Decode(object.value()->m_document.m_body);
  const HistoryEntry* entry =
    history ? history.value().FindByOperation(aOperation) : nullptr;
  return entry ? "the change was in force as version " +
                   std::to_string(entry->m_revision.Value()) +
                   " and has been replaced"
               : "the answer was lost: the change may have been in force";
}

/// The output for a change that was written as aVersion.
CtlOutput
AppliedOutput(const ReviewedChange& aChange,
              Revision aVersion,
              const OperationId& aOperation)
{
  const auto compared =
    CompareJson(aChange.m_current ? aChange.m_current->m_document.m_body : "{}",
                aChange.m_body);
  const std::vector<FieldDifference> differences =
    compared ? compared.value() : std::vector<FieldDifference>{};
  json::array warnings;
  CtlOutput output;
  output.m_text = "applied account=" + aChange.m_parameters.m_account.Value() +
                  " version=" + std::to_string(aVersion.Value()) +
                  " operation=" + aOperation.Value() + "\n" +
                  TextOf(differences);
  for (const std::string& warning : aChange.m_warnings) {
    output.m_text += "warning: " + warning + "\n";
    warnings.emplace_back(warning);
  }
  output.m_json = json::serialize(
    json::object{ { "result", "applied" },
                  { "account", aChange.m_parameters.m_account.Value() },
                  { "version", aVersion.Value() },
                  { "operation", aOperation.Value() },
                  { "warnings", std::move(warnings) },
                  { "differences", json::parse(JsonOf(differences)) } });
  return output;
}

} // namespace

Result<CurrentConfiguration>
ReadConfiguration(CtlSession& aSession, const ClientAccountId& aAccount)
{
  CurrentConfiguration current;
  BOOST_OUTCOME_TRY(current.m_object,
                    aSession.Read(ConfigurationKey(aAccount)));
  const Document& document = current.m_object.m_document;
  BOOST_OUTCOME_TRY(current.m_parameters, DecodeParameters(document.m_body));
  BOOST_OUTCOME_TRY(const Template shared,
                    ReadTemplate(aSession, current.m_parameters));
  BOOST_OUTCOME_TRY(
    current.m_configuration,
    ExpandTemplate(shared, current.m_parameters, document.m_revision));
  return current;
}

Result<std::set<MoveId>>
ReadDoneMoves(CtlSession& aSession, const ClientAccountId& aAccount)
{
  BOOST_OUTCOME_TRY(const auto outcomes, ReadOutcomes(aSession, aAccount));
  std::set<MoveId> done;
  for (const StoredOutcome& outcome : outcomes) {
    if (outcome.m_state == "done") {
      done.insert(outcome.m_move);
    }
  }
  return done;
}

Result<ReviewedChange>
ReviewChange(CtlSession& aSession, const AccountParameters& aParameters)
{
  BOOST_OUTCOME_TRY(const Template shared, ReadTemplate(aSession, aParameters));
  BOOST_OUTCOME_TRY(const Configuration next,
                    ExpandTemplate(shared, aParameters, Revision{ 0 }));
  ReviewedChange change;
  change.m_parameters = aParameters;
  change.m_body = EncodeParameters(aParameters);
  BOOST_OUTCOME_TRY(change.m_current,
                    aSession.Find(ConfigurationKey(aParameters.m_account)));
  std::optional<Configuration> previous;
  if (change.m_current) {
    auto current = ReadConfiguration(aSession, aParameters.m_account);
    if (current) {
      change.m_current = current.value().m_object;
      previous = current.value().m_configuration;
    } else if (ExitStatusOf(current.error()) != kExitRefused) {
      return current.error();
    } else {
      change.m_warnings.push_back(
        "the current version does not expand, so that the rules of a change "
        "were not checked: " +
        current.error().Detail());
    }
  }
  ChangeContext context;
  context.m_now = aSession.Now();
  context.m_warmSlots = ReadWarmSlots(aSession);
  BOOST_OUTCOME_TRY(context.m_doneMoves,
                    ReadDoneMoves(aSession, aParameters.m_account));
  BOOST_OUTCOME_TRY(
    const ChangeReview review,
    ValidateChange(previous ? &*previous : nullptr, next, context));
  change.m_warnings.insert(change.m_warnings.end(),
                           review.m_warnings.begin(),
                           review.m_warnings.end());
  return change;
}

Result<CtlOutput>
ApplyChange(CtlSession& aSession,
            const ReviewedChange& aChange,
            std::optional<Revision> aExpected)
{
  const ClientAccountId& account = aChange.m_parameters.m_account;
  const Revision read = aChange.m_current
                          ? aChange.m_current->m_document.m_revision
                          : Revision{ 0 };
  if (aChange.m_current && aExpected.value_or(read) != read) {
    return LostRaceOutput(aChange, *aChange.m_current, "");
  }
  if (aChange.m_current) {
    BOOST_OUTCOME_TRY(AddToHistory(aSession, account, *aChange.m_current));
  }
  const WriterVersion version = aChange.m_current
                                  ? aChange.m_current->m_document.m_version
                                  : WriterVersion(0);
  const OperationId operation = aSession.NewOperation();
  const WriteReport report = aSession.Write({ ConfigurationKey(account),
                                              aChange.m_body,
                                              aExpected.value_or(read),
                                              operation,
                                              version + WriterVersion(1) });
  switch (report.m_status) {
    case ConditionalWriteStatus::Written:
      return AppliedOutput(aChange, report.m_revision, operation);
    case ConditionalWriteStatus::LostRace: {
      const std::string note =
        report.m_mayHaveBeenReplaced
          ? DescribeReplacement(aSession, account, operation)
          : std::string();
      return LostRaceOutput(
        aChange, report.m_current.value_or(PlatformObject{}), note);
    }
    case ConditionalWriteStatus::Failed:
      return *report.m_error;
    case ConditionalWriteStatus::Unknown:
      break;
  }
  return Error(ErrorCode::Unavailable,
               "configuration.write",
               report.m_error->Peer(),
               "it is unknown whether the change was written; search for "
               "operation " +
                 operation.Value() +
                 " in the output of config get and config history");
}

} // namespace tarragontray
