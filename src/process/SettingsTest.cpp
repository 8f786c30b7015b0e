#include "process/Settings.h"

#include <cstdlib>

#include <criterion/criterion.h>

namespace tarragontray {

namespace {

SettingsParser
SampleParser()
{
  SettingsParser parser("sample", "A sample.");
  parser.Add(IntegerSetting{ "count", "calls", "How many.", 1, 10, 3 });
  parser.Add(TextSetting{ "mode", "How.", { "fast", "slow" }, "fast" });
  parser.Add(AddressSetting{ "seeds", "Peers.", true, false });
  parser.Add(SwitchSetting{ "quiet", "Says less." });
  parser.Add(NumberSetting{ "factor", "How much.", 0, 2.5, 1 });
  parser.Add(IntegerSetting{ "limit", "ms", "How long.", 100, 600'000, 1'000 });
  return parser;
}

Result<Settings>
Check(std::vector<const char*> aArguments)
{
  aArguments.insert(aArguments.begin(), "sample");
  return SampleParser().Check(static_cast<int>(aArguments.size()),
                              aArguments.data());
}

} // namespace

Test(Settings, UsesDefaultsForMissingFlags)
{
  const Result<Settings> settings = Check({});
  cr_assert(settings.has_value());
  cr_assert_eq(settings.value().Integer("count"), 3);
  cr_assert(settings.value().Text("mode") == "fast");
  cr_assert(settings.value().Addresses("seeds").empty());
  cr_assert(!settings.value().IsOn("quiet"));
}

Test(Settings, FlagOverridesEnvironment)
{
  setenv("TARRAGONTRAY_COUNT", "5", 1);
  cr_assert_eq(Check({}).value().Integer("count"), 5);
  cr_assert_eq(Check({ "--count=7" }).value().Integer("count"), 7);
}

Test(Settings, ReadsListsAndSwitches)
{
  const auto settings = Check({ "--seeds=127.0.0.1:1,127.0.0.2:2", "--quiet" });
  cr_assert_eq(settings.value().Addresses("seeds").size(), 2);
  cr_assert(settings.value().IsOn("quiet"));
}

Test(Settings, NumberMayHaveUnitSuffix)
{
  cr_assert_eq(Check({ "--limit=2500ms" }).value().Integer("limit"), 2'500);
  cr_assert_eq(Check({ "--limit=6s" }).value().Integer("limit"), 6'000);
  cr_assert_eq(Check({ "--limit=250" }).value().Integer("limit"), 250);
  cr_assert_eq(Check({ "--count=4calls" }).value().Integer("count"), 4);
  cr_assert(!Check({ "--limit=601s" }).has_value());
  cr_assert(!Check({ "--limit=9223372036854775807s" }).has_value());
  cr_assert(!Check({ "--limit=6m" }).has_value());
  cr_assert(!Check({ "--limit=1.5s" }).has_value());
  cr_assert(!Check({ "--count=4s" }).has_value());
}

Test(Settings, ListFlagMayBeRepeated)
{
  const auto settings =
    Check({ "--seeds=127.0.0.1:1", "--seeds", "127.0.0.2:2,127.0.0.3:3" });
  cr_assert_eq(settings.value().Addresses("seeds").size(), 3);
}

Test(Settings, ReadsDecimalNumbers)
{
  cr_assert_eq(Check({}).value().Number("factor"), 1.0);
  cr_assert_eq(Check({ "--factor=1.5" }).value().Number("factor"), 1.5);
  const auto settings = Check({ "--factor=2.6" });
  cr_assert(settings.error().Detail() ==
            "--factor is '2.6', allowed: 0 to 2.5");
}

Test(Settings, ErrorNamesFlagValueAndAllowedRange)
{
  const auto settings = Check({ "--count=11" });
  cr_assert(!settings.has_value());
  cr_assert(settings.error().Detail() ==
            "--count is '11', allowed: 1 to 10 calls");
}

Test(Settings, RejectsInvalidInput)
{
  const char* const kBad[] = {
    "--count=x",   "--count=0",   "--mode=odd", "--seeds=a:1",
    "--unknown=1", "word",        "--factor=x", "--factor=nan",
    "--factor=1x", "--factor=-1", "--quiet=no", "--seeds=127.0.0.1:1,"
  };
  for (const char* argument : kBad) {
    cr_assert(!Check({ argument }).has_value(), "accepted %s", argument);
  }
}

} // namespace tarragontray
