#include "version/ConfigurationHistory.h"

#include <string>

#include <criterion/criterion.h>

#include "version/ConfigurationSamples.h"
#include "version/JsonDifference.h"

namespace tarragontray {

namespace {

HistoryEntry
Entry(std::uint64_t aRevision, std::size_t aSize = 10)
{
  return { Revision(aRevision),
           OperationId("op-" + std::to_string(aRevision)),
           std::string(aSize, 'x'),
           WallTime(std::chrono::seconds(aRevision)) };
}

} // namespace

Test(ConfigurationHistory, SurvivesEncoding)
{
  ConfigurationHistory history;
  cr_assert(history.Add(Entry(7)));
  cr_assert(history.Add(Entry(3)));
  cr_assert(!history.Add(Entry(7)));
  const auto decoded = ConfigurationHistory::Decode(history.Encode());
  cr_assert(decoded.value().Entries() == history.Entries());
  cr_assert(decoded.value().Entries()[0].m_revision == Revision{ 3 });
  cr_assert(decoded.value().Find(Revision{ 7 })->m_operation ==
            OperationId("op-7"));
  cr_assert(decoded.value().FindByOperation(OperationId("op-3")) != nullptr);
  cr_assert(decoded.value().Find(Revision{ 5 }) == nullptr);
}

Test(ConfigurationHistory, KeepsTheNewestWithinItsBounds)
{
  ConfigurationHistory many;
  for (std::uint64_t i = 1; i <= 100; ++i) {
    many.Add(Entry(i));
  }
  cr_assert(many.Entries().size() == kMaxHistoryEntries);
  cr_assert(many.Entries().back().m_revision == Revision{ 100 });
  ConfigurationHistory large;
  for (std::uint64_t i = 1; i <= 20; ++i) {
    large.Add(Entry(i, 65'536));
  }
  cr_assert(large.Entries().size() == 6);
  cr_assert(large.Entries().back().m_revision == Revision{ 20 });
}

Test(ConfigurationHistory, RefusesWhatItDidNotWrite)
{
  cr_assert(!ConfigurationHistory::Decode("[]"));
  cr_assert(!ConfigurationHistory::Decode(R"({"versions": [{"version": 1}]})"));
  cr_assert(!ConfigurationHistory::Decode("{"));
}

Test(CompareJson, NamesEachFieldThatDiffers)
{
  const std::string before = SampleParametersText();
  std::string after = before;
  after.replace(after.find("\"v7\""), 4, "\"v8\"");
  after.replace(after.find("\"tries\": 3"), 10, "\"other\": 3");
  const auto differences = CompareJson(before, after).value();
  cr_assert(differences.size() == 3);
  cr_assert((differences[0] ==
             FieldDifference{
               "services[catalogue].live_versions[0]", "\"v7\"", "\"v8\"" }));
  cr_assert((differences[1] == FieldDifference{ "values.other", "", "3" }));
  cr_assert((differences[2] == FieldDifference{ "values.tries", "3", "" }));
  cr_assert(CompareJson(before, before).value().empty());
  cr_assert(CompareJson(before, "{").error().Code() == ErrorCode::Malformed);
}

} // namespace tarragontray
