#include "connection/PlatformMessages.h"

#include <chrono>

#include <criterion/criterion.h>

#include "base/Random.h"
#include "version/JsonMutations.h"

namespace tarragontray {

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kCorruptedInputs = 20'000;

PlatformObject
SampleObject(const std::string& aKey)
{
  return { { ObjectKey(aKey), Revision(7), "{\"a\": [1, \"\xC3\xA9\"]}" },
           OperationId("writer-1") };
}

PlatformListing
SampleListing()
{
  return { { SampleObject("templates/t/1"), SampleObject("templates/t/2") },
           Revision(9) };
}

/// Changes, truncates or duplicates a few bytes.
std::string
Corrupt(std::string aText, Random& aRandom)
{
  const std::uint64_t changes = 1 + aRandom.Below(4);
  for (std::uint64_t i = 0; i < changes && !aText.empty(); ++i) {
    const std::size_t place = aRandom.Below(aText.size());
    switch (aRandom.Below(3)) {
      case 0:
        aText[place] = static_cast<char>(aRandom.Below(256));
        break;
      case 1:
        aText.resize(place);
        break;
      default:
        aText.insert(place, aText.substr(place, aRandom.Below(8)));
    }
  }
  return aText;
}

/// Checks that every decoder either refuses the text or returns a value that
/// can be encoded and decoded again.
void
DecodeAll(const std::string& aText)
{
  if (const auto object = DecodeObject(aText)) {
    cr_assert(DecodeObject(EncodeObject(*object)).has_value());
  }
  if (const auto listing = DecodeListing(aText)) {
    cr_assert_eq(DecodeListing(EncodeListing(*listing))->m_objects.size(),
                 listing->m_objects.size());
  }
  if (const auto revision = DecodeRevision(aText)) {
    cr_assert(DecodeRevision(EncodeRevision(*revision)) == revision);
  }
}

} // namespace

Test(PlatformMessages, RequestsRoundTrip)
{
  const ObjectKey key("configurations/a b%2F?&=\xC3\xA9");
  const auto read = DecodeRequest(ReadRequest(key));
  cr_assert(read->m_operation == PlatformOperation::Read);
  cr_assert(read->m_key == key);

  const auto list = DecodeRequest(ListRequest("templates/a&b"));
  cr_assert(list->m_operation == PlatformOperation::List);
  cr_assert_eq(list->m_prefix, "templates/a&b");

  const auto watch = DecodeRequest(
    WatchRequest("moves/", Revision(12), std::chrono::seconds(3)));
  cr_assert(watch->m_operation == PlatformOperation::Watch);
  cr_assert(watch->m_after == Revision(12));
  cr_assert(watch->m_maxWait == std::chrono::seconds(3));
}

Test(PlatformMessages, WritesRoundTrip)
{
  for (const std::optional<Revision> expected :
       { std::optional<Revision>(),
         std::optional(Revision(0)),
         std::optional(Revision(5)) }) {
    const auto request = DecodeRequest(WriteRequest(
      { ObjectKey("ledger/vm/1"), "body", expected, OperationId("op") }));
    cr_assert(request->m_operation == PlatformOperation::Write);
    cr_assert(request->m_write.m_key == ObjectKey("ledger/vm/1"));
    cr_assert(request->m_write.m_expected == expected);
    cr_assert_eq(request->m_write.m_body, "body");
    cr_assert(request->m_write.m_operation == OperationId("op"));
  }
}

Test(PlatformMessages, RequestsOutsideTheApiAreRefused)
{
  const char* const targets[] = { "",
                                  "/",
                                  "/v1/objects",
                                  "/v1/objects/",
                                  "/v1/watch?prefix=a",
                                  "/v1/watch?prefix=a&"
                                  "after=-1&wait_ms=1",
                                  "/v1/watch?prefix=a&"
                                  "after=1&wait_ms=9999999",
                                  "no-slash",
                                  "/v1/objects/%zz" };
  for (const char* target : targets) {
    cr_assert(!DecodeRequest({ "GET", target, {}, "" }), "%s", target);
  }
  cr_assert(!DecodeRequest({ "DELETE", "/v1/objects/a", {}, "" }));
  cr_assert(!DecodeRequest({ "PUT", "/v1/objects/a", {}, "{}" }));
}

Test(PlatformMessages, NullInAnyPlaceIsRefused)
{
  for (const auto& mutation :
       NullMutations(EncodeListing(SampleListing()), "listing")) {
    cr_assert(!DecodeListing(mutation.m_text), "%s", mutation.m_path.c_str());
  }
}

Test(PlatformMessages, AnyValueInAnyPlaceIsDecodedOrRefused)
{
  for (const auto& mutation :
       ReplacementMutations(EncodeListing(SampleListing()), "listing")) {
    DecodeAll(mutation.m_text);
  }
}

Test(PlatformMessages, CorruptedTextIsDecodedOrRefused)
{
  SeededRandom random(kSeed);
  const std::string texts[] = { EncodeObject(SampleObject("templates/t/1")),
                                EncodeListing(SampleListing()),
                                EncodeRevision(Revision(3)) };
  for (int i = 0; i < kCorruptedInputs; ++i) {
    DecodeAll(Corrupt(texts[random.Below(std::size(texts))], random));
  }
}

Test(PlatformMessages, CorruptedRequestsAreDecodedOrRefused)
{
  SeededRandom random(kSeed);
  const HttpRequestParts requests[] = {
    ReadRequest(ObjectKey("templates/t/1")),
    ListRequest("templates/"),
    WatchRequest("moves/", Revision(1), std::chrono::seconds(1)),
    WriteRequest({ ObjectKey("a"), "b", Revision(1), OperationId("c") })
  };
  for (int i = 0; i < kCorruptedInputs; ++i) {
    HttpRequestParts request = requests[random.Below(std::size(requests))];
    request.m_target = Corrupt(request.m_target, random);
    request.m_body = Corrupt(request.m_body, random);
    const auto decoded = DecodeRequest(request);
    cr_assert(!decoded || decoded->m_maxWait <= std::chrono::seconds(600));
  }
}

} // namespace tarragontray
