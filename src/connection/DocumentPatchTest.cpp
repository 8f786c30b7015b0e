#include "version/DocumentPatch.h"

#include <criterion/criterion.h>

#include "base/Random.h"
#include "connection/ZstdPatchCodec.h"
#include "process/Datagram.h"

namespace tarragontray {

namespace {

const ObjectKey kKey("configurations/mesh");

/// Text like a configuration of aRoutes routes with random names.
std::string
Body(std::size_t aRoutes, std::uint64_t aSeed)
{
  SeededRandom random(aSeed);
  std::string body = "[";
  for (std::size_t i = 0; i < aRoutes; ++i) {
    body += R"({"id":"route-)" + std::to_string(random.Next()) +
            R"(","prefix":"/)" + std::to_string(random.Below(1'000'000)) +
            R"(","to":"box-office","limit":"1200ms","attempts":3},)";
  }
  return body + "]";
}

Document
Version(std::uint64_t aRevision, std::string aBody)
{
  return { kKey,
           Revision(aRevision),
           std::move(aBody),
           WriterVersion(aRevision * 3),
           Revision(1) };
}

} // namespace

Test(DocumentPatch, ChangedRouteOfALargeConfigurationFitsIntoADatagram)
{
  const auto codec = MakeZstdPatchCodec();
  const Document base = Version(7, Body(1'500, 1));
  Document target = Version(9, base.m_body);
  target.m_body.replace(target.m_body.size() / 2, 4, "9999");
  target.m_body.insert(2'000, R"({"id":"new","prefix":"/new"},)");
  const auto patch = MakePatch(*codec, base, target);
  cr_assert(patch.has_value());
  cr_assert_lt(patch.value().m_bytes.size(), kMaxDatagramBytes / 2);
  const auto applied = ApplyPatch(*codec, patch.value(), base);
  cr_assert(applied.has_value());
  cr_assert(applied.value() == target);
}

Test(DocumentPatch, AppliesOnlyToTheVersionItWasMadeFrom)
{
  const auto codec = MakeZstdPatchCodec();
  const Document base = Version(7, Body(50, 1));
  const auto patch =
    MakePatch(*codec, base, Version(9, Body(50, 1) + " ")).value();
  const Document otherRevision = Version(8, base.m_body);
  const Document otherBody = Version(7, Body(50, 2));
  for (const Document& held : { otherRevision, otherBody }) {
    const auto applied = ApplyPatch(*codec, patch, held);
    cr_assert(!applied);
    cr_assert(applied.error().Code() == ErrorCode::Conflict);
  }
}

/// A damaged patch must neither crash the node nor yield a document.
Test(DocumentPatch, DamagedPatchYieldsADocument)
{
  const auto codec = MakeZstdPatchCodec();
  const Document base = Version(7, Body(100, 1));
  const auto patch = MakePatch(*codec, base, Version(9, Body(100, 2))).value();
  SeededRandom random(1);
  for (int i = 0; i < 2'000; ++i) {
    DocumentPatch damaged = patch;
    switch (random.Below(4)) {
      case 0: {
        char& byte = damaged.m_bytes[random.Below(damaged.m_bytes.size())];
        byte = static_cast<char>(static_cast<unsigned>(byte) ^
                                 (1U + random.Below(255)));
        break;
      }
      case 1:
        damaged.m_bytes.resize(random.Below(damaged.m_bytes.size()));
        break;
      case 2:
        damaged.m_size = ByteCount(random.Next());
        break;
      default:
        damaged.m_size = ByteCount(random.Below(100'000));
    }
    const auto applied = ApplyPatch(*codec, damaged, base);
    // Damage may hit bytes that do not matter for the result.
    cr_assert(!applied || applied.value().m_body == Body(100, 2));
  }
}

} // namespace tarragontray
