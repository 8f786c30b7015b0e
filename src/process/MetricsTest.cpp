#include "process/Metrics.h"

#include <criterion/criterion.h>

namespace tarragontray {

Test(Metrics, ShowsCallsByAccountAndClass)
{
  Metrics metrics(VmId("vm-1"), DataCentreId("dc-1"));
  metrics.Calls(ClientAccountId("a"), ClassName("members"))
    .Observe(CallOutcome::Done, std::chrono::milliseconds(3));
  const std::string text = metrics.Text();
  const char* const expected =
    "tarragontray_call_seconds_count{data_centre=\"dc-1\",vm=\"vm-1\","
    "account=\"a\",class=\"members\"} 1";
  cr_assert(text.find(expected) != std::string::npos, "%s", text.c_str());
}

Test(Metrics, LabelSetsAreBounded)
{
  Metrics metrics(VmId("vm-1"), DataCentreId("dc-1"));
  for (std::size_t i = 0; i < Metrics::kMaxCallSeries + 5; ++i) {
    metrics.Calls(ClientAccountId("a" + std::to_string(i)), ClassName("c"));
  }
  CallMetrics& first = metrics.Calls(ClientAccountId("x"), ClassName("c"));
  CallMetrics& second = metrics.Calls(ClientAccountId("y"), ClassName("c"));
  cr_assert(&first == &second);
}

} // namespace tarragontray
