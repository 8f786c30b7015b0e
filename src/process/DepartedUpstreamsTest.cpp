#include "process/DepartedUpstreams.h"

#include <criterion/criterion.h>

namespace tarragontray {

namespace {

UpstreamProcess
Process(const std::string& aInstance, std::uint64_t aBirth)
{
  return { UpstreamInstanceId(aInstance), UpstreamBirth(aBirth) };
}

UpstreamProcess
AnyProcess(const std::string& aInstance)
{
  return { UpstreamInstanceId(aInstance), std::nullopt };
}

} // namespace

Test(DepartedUpstreams, CoversProcessesUpToTheBirth)
{
  DepartedUpstreams departed;
  cr_assert(departed.Add(Process("i-1", 100)));
  cr_assert(!departed.Add(Process("i-1", 100)));
  cr_assert(departed.Covers(Process("i-1", 100)));
  cr_assert(departed.Covers(Process("i-1", 99)));
  cr_assert(departed.Covers(AnyProcess("i-1")));
  cr_assert(!departed.Covers(Process("i-1", 101)));
  cr_assert(!departed.Covers(Process("i-2", 100)));
}

Test(DepartedUpstreams, ALaterProcessOfAnInstanceReplacesTheEarlierOne)
{
  DepartedUpstreams departed;
  departed.Add(Process("i-1", 100));
  cr_assert(departed.Add(Process("i-1", 300)));
  cr_assert(!departed.Add(Process("i-1", 200)));
  cr_assert_eq(departed.Processes().size(), 1);
  cr_assert(departed.Covers(Process("i-1", 250)));
}

Test(DepartedUpstreams, AnEntryWithoutABirthCoversTheInstance)
{
  DepartedUpstreams departed;
  departed.Add(AnyProcess("i-1"));
  cr_assert(departed.Covers(Process("i-1", 100)));
  cr_assert(!departed.Covers(Process("i-2", 100)));
}

Test(DepartedUpstreams, MergingDependsOnTheOrder)
{
  DepartedUpstreams left;
  DepartedUpstreams right;
  for (std::uint64_t i = 0; i < DepartedUpstreams::kMaxProcesses; ++i) {
    left.Add(Process("left-" + std::to_string(i), 2 * i));
    right.Add(Process("right-" + std::to_string(i), 2 * i + 1));
  }
  DepartedUpstreams leftFirst = left;
  cr_assert(leftFirst.Merge(right));
  cr_assert(!leftFirst.Merge(right));
  DepartedUpstreams rightFirst = right;
  cr_assert(rightFirst.Merge(left));
  cr_assert(leftFirst == rightFirst);
  cr_assert_eq(leftFirst.Processes().size(), DepartedUpstreams::kMaxProcesses);
  cr_assert(leftFirst.Covers(Process("right-7", 15)));
  cr_assert(!leftFirst.Covers(Process("left-0", 0)));
}

} // namespace tarragontray
