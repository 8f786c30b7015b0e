#include <charconv>
#include <optional>
#include <utility>

#include <boost/json.hpp>

#include "base/TimeText.h"
#include "programs/CtlChange.h"
#include "programs/CtlCommand.h"
#include "programs/CtlFormat.h"
#include "version/ConfigurationHistory.h"
#include "version/ConfigurationJson.h"
#include "version/ObjectKeys.h"

namespace tarragontray {

namespace json = boost::json;

namespace {

Result<AccountParameters>
ReadParametersFile(const std::string& aPath)
{
  BOOST_OUTCOME_TRY(const std::string text, ReadFile(aPath));
  return DecodeParameters(text);
}

/// Reads an account's history; empty when the account has none. Errors:
/// Malformed, and those of the platform.
Result<ConfigurationHistory>
ReadHistory(CtlSession& aSession, const ClientAccountId& aAccount)
{
  BOOST_OUTCOME_TRY(
    const auto object,
    aSession.Find(ObjectKey(std::string(kHistoryPrefix) + aAccount.Value())));
  if (!object) {
    return ConfigurationHistory();
  }
  return ConfigurationHistory::Decode(object->m_document.m_body);
}

/// One version of an account's configuration object, current or replaced.
struct StoredVersion
{
  Revision m_revision;
  OperationId m_operation;
  std::string m_body;
};

/// Reads one version of an account's configuration object.
/// \param aRevision not set: the current version.
/// Errors: NotFound when neither the object nor the history has the version;
/// those of the platform.
Result<StoredVersion>
ReadVersion(CtlSession& aSession,
            const ClientAccountId& aAccount,
            std::optional<Revision> aRevision)
{
  BOOST_OUTCOME_TRY(const PlatformObject object,
                    aSession.Read(ConfigurationKey(aAccount)));
  const Document& document = object.m_document;
  if (aRevision.value_or(document.m_revision) == document.m_revision) {
    return StoredVersion{ document.m_revision,
                          object.m_operation,
                          document.m_body };
  }
  BOOST_OUTCOME_TRY(const ConfigurationHistory history,
                    ReadHistory(aSession, aAccount));
  const HistoryEntry* entry = history.Find(*aRevision);
  if (!entry) {
    return Error(ErrorCode::NotFound,
                 "configuration.read",
                 "",
                 "the history of " + aAccount.Value() + " has no version " +
                   std::to_string(aRevision->Value()));
  }
  return StoredVersion{ entry->m_revision, entry->m_operation, entry->m_body };
}

/// Reads a version setting, in which a negative number stands for no version.
std::optional<Revision>
OptionalRevision(const Settings& aSettings, const std::string& aName)
{
  const std::int64_t number = aSettings.Integer(aName);
  return number < 0 ? std::optional<Revision>()
                    : Revision(static_cast<std::uint64_t>(number));
}

class ConfigValidate final : public CtlCommand
{
public:
  std::string_view Name() const override { return "config validate"; }
  std::string_view Arguments() const override { return "FILE"; }
  std::string_view Summary() const override
  {
    return "Checks an account's parameters and the change to them.";
  }

  Result<CtlOutput> Run(const CtlContext& aContext) const override
  {
    BOOST_OUTCOME_TRY(const AccountParameters parameters,
                      ReadParametersFile(aContext.m_arguments[0]));
    BOOST_OUTCOME_TRY(const ReviewedChange change,
                      ReviewChange(aContext.m_session, parameters));
    CtlOutput output;
    output.m_text = "valid account=" + parameters.m_account.Value() + "\n";
    json::array warnings;
    for (const std::string& warning : change.m_warnings) {
      output.m_text += "warning: " + warning + "\n";
      warnings.emplace_back(warning);
    }
    output.m_json =
      json::serialize(json::object{ { "result", "valid" },
                                    { "account", parameters.m_account.Value() },
                                    { "warnings", std::move(warnings) } });
    return output;
  }
};

class ConfigApply final : public CtlCommand
{
public:
  std::string_view Name() const override { return "config apply"; }
  std::string_view Arguments() const override { return "FILE"; }
  std::string_view Summary() const override
  {
    return "Writes an account's parameters, if nobody else did meanwhile "
           "(--expected, --wait, --wait-ms).";
  }

  Result<CtlOutput> Run(const CtlContext& aContext) const override
  {
    BOOST_OUTCOME_TRY(CheckWait(aContext));
    BOOST_OUTCOME_TRY(const AccountParameters parameters,
                      ReadParametersFile(aContext.m_arguments[0]));
    BOOST_OUTCOME_TRY(const ReviewedChange change,
                      ReviewChange(aContext.m_session, parameters));
    BOOST_OUTCOME_TRY(
      CtlOutput applied,
      ApplyChange(aContext.m_session,
                  change,
                  OptionalRevision(aContext.m_settings, "expected")));
    return FinishChange(aContext, parameters.m_account, std::move(applied));
  }
};

class ConfigGet final : public CtlCommand
{
public:
  std::string_view Name() const override { return "config get"; }
  std::string_view Arguments() const override { return "ACCOUNT"; }
  std::string_view Summary() const override
  {
    return "Prints an account's parameters (--revision). The text form can be "
           "edited and applied.";
  }

  Result<CtlOutput> Run(const CtlContext& aContext) const override
  {
    BOOST_OUTCOME_TRY(
      const StoredVersion version,
      ReadVersion(aContext.m_session,
                  ClientAccountId(aContext.m_arguments[0]),
                  OptionalRevision(aContext.m_settings, "revision")));
    BOOST_OUTCOME_TRY(DecodeParameters(version.m_body));
    CtlOutput output;
    output.m_text = "// version " + std::to_string(version.m_revision.Value()) +
                    "\n" + IndentedJson(version.m_body);
    output.m_json = json::serialize(
      json::object{ { "version", version.m_revision.Value() },
                    { "operation", version.m_operation.Value() },
                    { "parameters", json::parse(version.m_body) } });
    return output;
  }
};

class ConfigHistory final : public CtlCommand
{
public:
  std::string_view Name() const override { return "config history"; }
  std::string_view Arguments() const override { return "ACCOUNT"; }
  std::string_view Summary() const override
  {
    return "Lists an account's versions, the current one last.";
  }

  Result<CtlOutput> Run(const CtlContext& aContext) const override
  {
    const ClientAccountId account(aContext.m_arguments[0]);
    BOOST_OUTCOME_TRY(const StoredVersion current,
                      ReadVersion(aContext.m_session, account, std::nullopt));
    BOOST_OUTCOME_TRY(const ConfigurationHistory history,
                      ReadHistory(aContext.m_session, account));
    TextTable table({ "VERSION", "OPERATION", "REPLACED" });
    json::array list;
    const auto add = [&](Revision aRevision,
                         const OperationId& aOperation,
                         const std::string& aReplaced) {
      table.Add({ std::to_string(aRevision.Value()),
                  aOperation.Value(),
                  aReplaced.empty() ? "current" : aReplaced });
      list.push_back(json::object{ { "version", aRevision.Value() },
                                   { "operation", aOperation.Value() },
                                   { "replaced", aReplaced } });
    };
    for (const HistoryEntry& entry : history.Entries()) {
      // A writer adds the current version to the history before its conditional
      // write. If that write loses the race, the version may still be current.
      if (entry.m_revision != current.m_revision) {
        add(entry.m_revision,
            entry.m_operation,
            FormatWallTime(entry.m_replacedAt));
      }
    }
    add(current.m_revision, current.m_operation, "");
    return CtlOutput{ table.ToString(), json::serialize(list) };
  }
};

class ConfigDiff final : public CtlCommand
{
public:
  std::string_view Name() const override { return "config diff"; }
  std::string_view Arguments() const override
  {
    return "ACCOUNT FILE-OR-VERSION [VERSION]";
  }
  std::string_view Summary() const override
  {
    return "Shows what differs between the current version and a file or "
           "version, or between two versions.";
  }

  Result<CtlOutput> Run(const CtlContext& aContext) const override
  {
    const auto& arguments = aContext.m_arguments;
    const ClientAccountId account(arguments[0]);
    BOOST_OUTCOME_TRY(std::string before,
                      BodyOf(aContext, account, arguments[1]));
    BOOST_OUTCOME_TRY(
      std::string after,
      BodyOf(aContext, account, arguments.size() > 2 ? arguments[2] : ""));
    if (arguments.size() == 2 && !NumberOf(arguments[1])) {
      // A file holds the proposed change, so it is the newer side.
      std::swap(before, after);
    }
    BOOST_OUTCOME_TRY(const auto differences, CompareJson(before, after));
    return CtlOutput{ TextOf(differences), JsonOf(differences) };
  }

private:
  static std::optional<Revision> NumberOf(const std::string& aText)
  {
    std::uint64_t number = 0;
    const char* last = aText.data() + aText.size();
    const auto read = std::from_chars(aText.data(), last, number);
    const bool isNumber = read.ec == std::errc() && read.ptr == last;
    return isNumber ? std::optional(Revision(number)) : std::nullopt;
  }

  /// The canonical JSON of a version number, of a file, or, when aName is
  /// empty, of the current version.
  static Result<std::string> BodyOf(const CtlContext& aContext,
                                    const ClientAccountId& aAccount,
                                    const std::string& aName)
  {
    const std::optional<Revision> revision = NumberOf(aName);
    if (!aName.empty() && !revision) {
      BOOST_OUTCOME_TRY(const AccountParameters parameters,
                        ReadParametersFile(aName));
      return EncodeParameters(parameters);
    }
    BOOST_OUTCOME_TRY(StoredVersion version,
                      ReadVersion(aContext.m_session, aAccount, revision));
    return std::move(version.m_body);
  }
};

} // namespace

void
AddConfigurationCommands(CtlCommands& aCommands)
{
  aCommands.push_back(std::make_unique<ConfigValidate>());
  aCommands.push_back(std::make_unique<ConfigApply>());
  aCommands.push_back(std::make_unique<ConfigGet>());
  aCommands.push_back(std::make_unique<ConfigHistory>());
  aCommands.push_back(std::make_unique<ConfigDiff>());
}

} // namespace tarragontray
