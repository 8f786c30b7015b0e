#include <functional>
#include <string>

#include <criterion/criterion.h>

#include "base/TimeText.h"
#include "version/ConfigurationHistory.h"
#include "version/ConfigurationJson.h"
#include "version/ConfigurationSamples.h"
#include "version/Expansion.h"
#include "version/JsonDifference.h"
#include "version/TextMutator.h"

namespace tarragontray {

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kInputs = 20'000;

/// Runs aCheck on mutations of aText; aCheck returns whether the decoder
/// accepted its argument.
void
Fuzz(const std::string& aText,
     const std::function<bool(const std::string&)>& aCheck)
{
  TextMutator mutator(kSeed);
  int accepted = 0;
  for (int i = 0; i < kInputs; ++i) {
    accepted += aCheck(mutator.Mutate(aText)) ? 1 : 0;
  }
  // Both the accepting and the rejecting path must have run.
  cr_assert(accepted > 0 && accepted < kInputs, "%d accepted", accepted);
}

} // namespace

Test(DecoderFuzz, TemplatesRoundTripAndExpandOrAreRejected)
{
  Fuzz(SampleTemplateText(), [](const std::string& aText) {
    const Result<Template> decoded = DecodeTemplate(aText);
    if (!decoded) {
      cr_assert(decoded.error().Step() == "template.decode");
      return false;
    }
    const std::string text = EncodeTemplate(decoded.value());
    const Result<Template> again = DecodeTemplate(text);
    cr_assert(again.has_value(),
              "%s: %s",
              again.error().Detail().c_str(),
              text.c_str());
    cr_assert(again.value() == decoded.value(), "%s", text.c_str());
    const Result<Configuration> expanded =
      ExpandTemplate(decoded.value(), SampleParameters(), Revision{ 1 });
    cr_assert(expanded || expanded.error().Step() == "configuration.expand");
    return true;
  });
}

Test(DecoderFuzz, ParametersRoundTripAndExpandOrAreRejected)
{
  Fuzz(SampleParametersText(), [](const std::string& aText) {
    const Result<AccountParameters> decoded = DecodeParameters(aText);
    if (!decoded) {
      cr_assert(decoded.error().Step() == "parameters.decode");
      return false;
    }
    const std::string text = EncodeParameters(decoded.value());
    const Result<AccountParameters> again = DecodeParameters(text);
    cr_assert(again.has_value(),
              "%s: %s",
              again.error().Detail().c_str(),
              text.c_str());
    cr_assert(again.value() == decoded.value(), "%s", text.c_str());
    const Result<Configuration> expanded =
      ExpandTemplate(SampleTemplate(), decoded.value(), Revision{ 1 });
    cr_assert(expanded || expanded.error().Step() == "configuration.expand");
    return true;
  });
}

Test(DecoderFuzz, HistoriesDecodeOrAreRejected)
{
  ConfigurationHistory history;
  history.Add({ Revision{ 7 },
                OperationId("op"),
                "{}",
                WallTime(std::chrono::hours(500'000)) });
  Fuzz(history.Encode(), [](const std::string& aText) {
    return ConfigurationHistory::Decode(aText).has_value();
  });
}

Test(DecoderFuzz, TextsAreComparedOrRejected)
{
  const std::string text = SampleParametersText();
  Fuzz(text, [&](const std::string& aText) {
    return CompareJson(text, aText).has_value();
  });
}

Test(DecoderFuzz, TimesRoundTripOrAreRejected)
{
  Fuzz("2026-12-04T18:05:09.250Z", [](const std::string& aText) {
    const Result<WallTime> time = ParseWallTime(aText);
    if (time) {
      cr_assert(ParseWallTime(FormatWallTime(time.value())).value() ==
                time.value());
    }
    return time.has_value();
  });
}

} // namespace tarragontray
