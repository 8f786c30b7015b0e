#include "process/SpreadTree.h"

#include <map>
#include <string>

#include <criterion/criterion.h>

namespace tarragontray {

namespace {

std::vector<VmId>
Members(int aCount)
{
  std::vector<VmId> members;
  for (int i = 0; i < aCount; ++i) {
    members.emplace_back("vm-" + std::to_string(i));
  }
  return members;
}

} // namespace

Test(SpreadTree, ReachesEveryMemberExactlyOnce)
{
  for (const std::size_t fanout : { 1, 2, 4, 200 }) {
    for (std::uint32_t seed = 0; seed < 10; ++seed) {
      const std::vector<VmId> members = Members(111);
      const std::vector<VmId> suspects = { VmId("suspect") };
      const SpreadPath path{ members[seed], seed };
      std::map<VmId, int> reached;
      std::vector<VmId> all = members;
      all.push_back(suspects[0]);
      for (const VmId& self : all) {
        for (const VmId& child :
             TreeChildren(path, members, suspects, self, fanout)) {
          ++reached[child];
        }
      }
      cr_assert_eq(reached.size(),
                   111); // All members and the suspect, but not the root.
      for (const auto& [vm, times] : reached) {
        cr_assert_eq(times, 1);
      }
    }
  }
}

Test(SpreadTree, SuspectsAreLeaves)
{
  const std::vector<VmId> members = Members(50);
  const std::vector<VmId> suspects = { VmId("a"), VmId("b") };
  for (std::uint32_t seed = 0; seed < 20; ++seed) {
    const SpreadPath path{ members[0], seed };
    for (const VmId& suspect : suspects) {
      cr_assert(TreeChildren(path, members, suspects, suspect, 4).empty());
    }
  }
}

Test(SpreadTree, SeedDeterminesTheInnerNodes)
{
  const std::vector<VmId> members = Members(50);
  const SpreadPath left{ members[0], 1 };
  const SpreadPath right{ members[0], 2 };
  cr_assert(TreeChildren(left, members, {}, members[0], 4) !=
            TreeChildren(right, members, {}, members[0], 4));
}

Test(SpreadTree, NonMemberForwardsNothing)
{
  cr_assert(
    TreeChildren({ VmId("vm-0"), 1 }, Members(5), {}, VmId("x"), 4).empty());
}

Test(SeenPaths, InsertsEachPathOnce)
{
  SeenPaths seen;
  cr_assert(seen.Insert({ VmId("a"), 1 }));
  cr_assert(!seen.Insert({ VmId("a"), 1 }));
  cr_assert(seen.Insert({ VmId("a"), 2 }));
  cr_assert(seen.Insert({ VmId("b"), 1 }));
}

} // namespace tarragontray
