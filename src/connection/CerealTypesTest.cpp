#include "connection/CerealTypes.h"

#include <criterion/criterion.h>

namespace tarragontray {

Test(CerealTypes, EncodedValuesRoundTrip)
{
  std::string bytes;
  Writer writer(bytes);
  const MoveId move{ { ClientAccountId("a"), ServiceName("s") },
                     PlanNumber(300) };
  Put(writer, move);
  Put(writer, std::vector<std::uint32_t>{ 1, 1U << 31U });
  Put(writer, std::optional<Share>(Share::FromParts(77)));
  Put(writer, Duration(std::chrono::milliseconds(5)));

  Reader reader(bytes);
  MoveId moveRead;
  std::vector<std::uint32_t> numbers;
  std::optional<Share> share;
  Duration duration{ 0 };
  Get(reader, moveRead);
  Get(reader, numbers);
  Get(reader, share);
  Get(reader, duration);
  cr_assert(reader.IsFullyRead());
  cr_assert(moveRead == move);
  cr_assert(numbers == (std::vector<std::uint32_t>{ 1, 1U << 31U }));
  cr_assert(share == Share::FromParts(77));
  cr_assert(duration == std::chrono::milliseconds(5));
}

Test(CerealTypes, WallTimesOfTheCenturyRoundTrip)
{
  const WallTime time{ std::chrono::seconds(4'000'000'000) };
  std::string bytes;
  Writer writer(bytes);
  Put(writer, time);
  Reader reader(bytes);
  WallTime read;
  Get(reader, read);
  cr_assert(reader.IsFullyRead());
  cr_assert(read == time);
}

Test(CerealTypes, SmallNumbersTakeOneByte)
{
  std::string bytes;
  Writer writer(bytes);
  Put(writer, std::uint64_t{ 127 });
  cr_assert_eq(bytes.size(), 1);
}

Test(CerealTypes, TruncationAtEveryByteFails)
{
  std::string bytes;
  Writer writer(bytes);
  Put(writer, std::vector<std::string>{ "first", "second" });
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    Reader reader(std::string_view(bytes).substr(0, size));
    std::vector<std::string> items;
    Get(reader, items);
    cr_assert(reader.IsFailed(), "a prefix of %zu bytes was accepted", size);
  }
}

Test(CerealTypes, HugeLengthAllocatesNothing)
{
  std::string bytes;
  Writer writer(bytes);
  writer.PutNumber(1ULL << 60U);
  Reader reader(bytes);
  std::string text;
  Get(reader, text);
  cr_assert(reader.IsFailed());
  cr_assert(text.empty());
}

} // namespace tarragontray
