#include <criterion/criterion.h>

#include "base/Clock.h"
#include "base/Hash.h"
#include "base/Ids.h"
#include "base/NetworkAddress.h"
#include "base/Random.h"

namespace tarragontray {

Test(NetworkAddress, ParseReversesToString)
{
  const Result<NetworkAddress> address =
    NetworkAddress::Parse("127.0.3.200:65535");
  cr_assert(address.has_value());
  cr_assert(address.value().ToString() == "127.0.3.200:65535");
}

Test(NetworkAddress, ParseRejectsMalformedText)
{
  const char* const kBad[] = { "",           "127.0.0.1",   "127.0.0.1:",
                               "1.2.3:4",    "1.2.3.256:1", "1.2.3.4:65536",
                               "1.2.3.4:5x", "a.b.c.d:1",   "-1.2.3.4:5" };
  for (const char* text : kBad) {
    const Result<NetworkAddress> address = NetworkAddress::Parse(text);
    cr_assert(!address.has_value(), "accepted %s", text);
    cr_assert(address.error().Code() == ErrorCode::InvalidArgument);
  }
}

Test(Error, MessageNamesStepAndPeer)
{
  const Error error(ErrorCode::Timeout, "link.call", "127.0.0.1:1", "late");
  cr_assert(error.Message() ==
            "error=timeout step=link.call peer=127.0.0.1:1 detail=\"late\"");
}

Test(Share, ClampsAndRounds)
{
  cr_assert(Share::FromFraction(1.5) == Share::All());
  cr_assert(Share::FromFraction(-1) == Share::None());
  cr_assert(Share::FromFraction(0.01).Parts() == 100);
}

Test(TopRanked, RemovingAMemberKeepsTheOrderOfTheRest)
{
  std::vector<VmId> members;
  for (int i = 0; i < 20; ++i) {
    members.emplace_back("vm-" + std::to_string(i));
  }
  const std::vector<VmId> before = TopRanked("relays", members, 3);
  std::erase(members, before[1]);
  const std::vector<VmId> after = TopRanked("relays", members, 3);
  cr_assert(after[0] == before[0]);
  cr_assert(after[1] == before[2]);
}

Test(SeededRandom, EqualSeedsGiveEqualSequences)
{
  SeededRandom left(7);
  SeededRandom right(7);
  for (int i = 0; i < 100; ++i) {
    cr_assert(left.Next() == right.Next());
  }
  const double fraction = left.Fraction();
  cr_assert(fraction >= 0 && fraction < 1);
}

} // namespace tarragontray
