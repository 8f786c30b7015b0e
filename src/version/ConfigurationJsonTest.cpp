#include "version/ConfigurationJson.h"

#include <string>

#include <criterion/criterion.h>

#include "version/ConfigurationSamples.h"
#include "version/Expansion.h"
#include "version/JsonMutations.h"

namespace tarragontray {

namespace {

std::string
TemplateError(const std::string& aText)
{
  const Result<Template> result = DecodeTemplate(aText);
  return result ? std::string() : result.error().Detail();
}

std::string
ParametersError(const std::string& aText)
{
  const Result<AccountParameters> result = DecodeParameters(aText);
  return result ? std::string() : result.error().Detail();
}

/// Whether the detail begins with aPath or with the path of a field below it.
bool
BeginsWithPath(const std::string& aDetail, const std::string& aPath)
{
  return aDetail.starts_with(aPath + ":") || aDetail.starts_with(aPath + ".");
}

} // namespace

Test(ConfigurationJson, TemplateRoundTripsThroughEncoding)
{
  const Template before = SampleTemplate();
  const std::string text = EncodeTemplate(before);
  const Result<Template> after = DecodeTemplate(text);
  cr_assert(after.has_value());
  cr_assert(after.value() == before);
  cr_assert(EncodeTemplate(after.value()) == text);
}

Test(ConfigurationJson, ParametersRoundTripThroughEncoding)
{
  const AccountParameters before = SampleParameters();
  const std::string text = EncodeParameters(before);
  const Result<AccountParameters> after = DecodeParameters(text);
  cr_assert(after.has_value());
  cr_assert(after.value() == before);
  cr_assert(EncodeParameters(after.value()) == text);
}

Test(ConfigurationJson, AbsentFieldsGetTheDocumentedDefaults)
{
  const Result<Template> result = DecodeTemplate(R"({
    "name": "small", "version": 1, // comments are allowed
    "classes": [{"name": "all", "priority": 0}],
    "services": [{"name": "desk"}],
    "routes": [{"name": "any", "service": "desk", "path_prefix": "/",
                "class": "all", "timeout_ms": 100}]})");
  cr_assert(result.has_value());
  const Template& shared = result.value();
  cr_assert(shared.m_classes[0].m_weight == Field<std::uint32_t>(1U));
  cr_assert(shared.m_services[0].m_queueLimit == Field<std::uint32_t>(64U));
  cr_assert(shared.m_services[0].m_foreignShare ==
            Field<Share>(Share::FromFraction(0.5)));
  cr_assert(shared.m_routes[0].m_method.empty());
  cr_assert(shared.m_routes[0].m_idempotent == Field<bool>(false));
  cr_assert(shared.m_routes[0].m_maxAttempts ==
            Field<std::uint8_t>(std::uint8_t{ 3 }));
  cr_assert(shared.m_moveLimits.m_minRamp ==
            Field<Duration>(std::chrono::seconds(10)));
}

Test(ConfigurationJson, RejectsNullAnywhereWithItsPath)
{
  for (const auto& mutation : NullMutations(SampleTemplateText(), "template")) {
    const std::string detail = TemplateError(mutation.m_text);
    cr_assert(BeginsWithPath(detail, mutation.m_path),
              "%s gave \"%s\"",
              mutation.m_path.c_str(),
              detail.c_str());
  }
  for (const auto& mutation :
       NullMutations(SampleParametersText(), "parameters")) {
    const std::string detail = ParametersError(mutation.m_text);
    cr_assert(BeginsWithPath(detail, mutation.m_path),
              "%s gave \"%s\"",
              mutation.m_path.c_str(),
              detail.c_str());
  }
}

Test(ConfigurationJson, RejectsUnknownFieldsAtEveryLevel)
{
  for (const auto& mutation :
       UnknownFieldMutations(SampleTemplateText(), "template")) {
    cr_assert(!TemplateError(mutation.m_text).empty(),
              "%s was accepted",
              mutation.m_path.c_str());
  }
  for (const auto& mutation :
       UnknownFieldMutations(SampleParametersText(), "parameters")) {
    // A value of an undeclared parameter decodes; expansion rejects it.
    const Result<AccountParameters> result = DecodeParameters(mutation.m_text);
    const bool isAccepted =
      result && ExpandTemplate(SampleTemplate(), result.value(), Revision{ 1 });
    cr_assert(!isAccepted, "%s was accepted", mutation.m_path.c_str());
  }
}

Test(ConfigurationJson, RejectsTruncatedAndDeeplyNestedText)
{
  const std::string complete = SampleTemplateText();
  for (std::size_t length = 0; length < complete.size(); ++length) {
    const Result<Template> result = DecodeTemplate(complete.substr(0, length));
    cr_assert(!result.has_value());
    cr_assert(result.error().Code() == ErrorCode::Malformed);
    cr_assert(result.error().Step() == "template.decode");
  }
  const std::string nested(5'000, '[');
  cr_assert(DecodeParameters(nested).error().Code() == ErrorCode::Malformed);
}

Test(ConfigurationJson, RejectsOversizedText)
{
  const std::string large(kMaxTemplateBytes + 1, ' ');
  cr_assert(DecodeTemplate(large).error().Code() == ErrorCode::TooLarge);
  cr_assert(DecodeParameters(large).error().Code() == ErrorCode::TooLarge);
}

} // namespace tarragontray
