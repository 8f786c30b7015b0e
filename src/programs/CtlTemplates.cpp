#include <utility>

#include <boost/json.hpp>

#include "programs/CtlCommand.h"
#include "programs/CtlFormat.h"
#include "version/ConfigurationJson.h"
#include "version/Expansion.h"
#include "version/ObjectKeys.h"

namespace tarragontray {

namespace json = boost::json;

namespace {

/// Checks what can be checked of a template without an account, by expanding it
/// with the defaults of its parameters and no exposed services. Only errors in
/// the template itself count: parameters without a default have no value here.
/// Errors: InvalidArgument.
Result<void>
CheckTemplate(const Template& aTemplate)
{
  AccountParameters parameters;
  parameters.m_account = ClientAccountId("check");
  parameters.m_template = aTemplate.m_name;
  parameters.m_templateVersion = aTemplate.m_version;
  const Result<Configuration> result =
    ExpandTemplate(aTemplate, parameters, Revision{ 0 });
  if (!result && result.error().Detail().starts_with("template.")) {
    return result.error();
  }
  return Success();
}

/// The output for a template that the platform holds as aRevision.
CtlOutput
StoredOutput(const ObjectKey& aKey,
             Revision aRevision,
             const std::string& aResult)
{
  CtlOutput output;
  output.m_text = aResult + " " + aKey.Value() + "\n";
  output.m_json =
    json::serialize(json::object{ { "result", aResult },
                                  { "key", aKey.Value() },
                                  { "revision", aRevision.Value() } });
  return output;
}

class TemplatePut final : public CtlCommand
{
public:
  std::string_view Name() const override { return "template put"; }
  std::string_view Arguments() const override { return "FILE"; }
  std::string_view Summary() const override
  {
    return "Writes a new template version, once and for good.";
  }

  Result<CtlOutput> Run(const CtlContext& aContext) const override
  {
    BOOST_OUTCOME_TRY(const std::string text,
                      ReadFile(aContext.m_arguments[0]));
    BOOST_OUTCOME_TRY(const Template shared, DecodeTemplate(text));
    BOOST_OUTCOME_TRY(CheckTemplate(shared));
    const ObjectKey key = TemplateKey(shared.m_name, shared.m_version);
    const std::string body = EncodeTemplate(shared);
    const WriteReport report = aContext.m_session.Write(
      { key, body, Revision{ 0 }, aContext.m_session.NewOperation() });
    if (report.m_status == ConditionalWriteStatus::Written) {
      return StoredOutput(key, report.m_revision, "written");
    }
    if (report.m_status != ConditionalWriteStatus::LostRace) {
      return *report.m_error;
    }
    if (report.m_current && report.m_current->m_document.m_body == body) {
      return StoredOutput(
        key, report.m_current->m_document.m_revision, "already-written");
    }
    return ConflictOutput(key, report.m_current, body);
  }

private:
  /// The output for a template version that exists with other content.
  static Result<CtlOutput> ConflictOutput(
    const ObjectKey& aKey,
    const std::optional<PlatformObject>& aCurrent,
    const std::string& aBody)
  {
    const auto compared =
      CompareJson(aBody, aCurrent ? aCurrent->m_document.m_body : "{}");
    const auto differences =
      compared ? compared.value() : std::vector<FieldDifference>{};
    CtlOutput output;
    output.m_exitStatus = kExitLostRace;
    output.m_text = aKey.Value() +
                    " exists with other content; a template is written once: "
                    "choose the next version\nyours -> current:\n" +
                    TextOf(differences);
    output.m_json = json::serialize(
      json::object{ { "result", "lost-race" },
                    { "key", aKey.Value() },
                    { "differences", json::parse(JsonOf(differences)) } });
    return output;
  }
};

class TemplateGet final : public CtlCommand
{
public:
  std::string_view Name() const override { return "template get"; }
  std::string_view Arguments() const override { return "NAME VERSION"; }
  std::string_view Summary() const override { return "Prints a template."; }

  Result<CtlOutput> Run(const CtlContext& aContext) const override
  {
    const ObjectKey key(std::string(kTemplatePrefix) + aContext.m_arguments[0] +
                        "/" + aContext.m_arguments[1]);
    BOOST_OUTCOME_TRY(const PlatformObject object,
                      aContext.m_session.Read(key));
    const std::string& body = object.m_document.m_body;
    BOOST_OUTCOME_TRY(DecodeTemplate(body));
    return CtlOutput{ IndentedJson(body), body };
  }
};

class TemplateList final : public CtlCommand
{
public:
  std::string_view Name() const override { return "template list"; }
  std::string_view Arguments() const override { return ""; }
  std::string_view Summary() const override
  {
    return "Lists the templates in the platform.";
  }

  Result<CtlOutput> Run(const CtlContext& aContext) const override
  {
    BOOST_OUTCOME_TRY(const PlatformListing listing,
                      aContext.m_session.List(std::string(kTemplatePrefix)));
    TextTable table({ "TEMPLATE", "REVISION", "BYTES" });
    json::array list;
    for (const PlatformObject& object : listing.m_objects) {
      const Document& document = object.m_document;
      const std::string name =
        document.m_key.Value().substr(kTemplatePrefix.size());
      table.Add({ name,
                  std::to_string(document.m_revision.Value()),
                  std::to_string(document.m_body.size()) });
      list.push_back(json::object{ { "template", name },
                                   { "revision", document.m_revision.Value() },
                                   { "bytes", document.m_body.size() } });
    }
    return CtlOutput{ table.ToString(), json::serialize(list) };
  }
};

} // namespace

void
AddTemplateCommands(CtlCommands& aCommands)
{
  aCommands.push_back(std::make_unique<TemplatePut>());
  aCommands.push_back(std::make_unique<TemplateGet>());
  aCommands.push_back(std::make_unique<TemplateList>());
}

} // namespace tarragontray
