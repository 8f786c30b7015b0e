#include "version/DocumentPatch.h"

#include <utility>

#include "base/Hash.h"

namespace tarragontray {

namespace {

constexpr char kStep[] = "document.patch";

} // namespace

Result<DocumentPatch>
MakePatch(const PatchCodec& aCodec,
          const Document& aBase,
          const Document& aTarget)
{
  BOOST_OUTCOME_TRY(auto bytes, aCodec.Encode(aBase.m_body, aTarget.m_body));
  DocumentPatch patch;
  patch.m_key = aTarget.m_key;
  patch.m_base = aBase.m_revision;
  patch.m_baseHash = StableHash(aBase.m_body);
  patch.m_revision = aTarget.m_revision;
  patch.m_version = aTarget.m_version;
  patch.m_created = aTarget.m_created;
  patch.m_size = ByteCount(aTarget.m_body.size());
  patch.m_hash = StableHash(aTarget.m_body);
  patch.m_bytes = std::move(bytes);
  return patch;
}

Result<Document>
ApplyPatch(const PatchCodec& aCodec,
           const DocumentPatch& aPatch,
           const Document& aBase)
{
  if (aBase.m_key != aPatch.m_key || aBase.m_revision != aPatch.m_base ||
      StableHash(aBase.m_body) != aPatch.m_baseHash) {
    return Error(ErrorCode::Conflict,
                 kStep,
                 aPatch.m_key.Value(),
                 "applies to revision " +
                   std::to_string(aPatch.m_base.Value()) + ", held is " +
                   std::to_string(aBase.m_revision.Value()));
  }
  if (aPatch.m_size > kMaxPatchedBytes) {
    return Error(ErrorCode::Malformed,
                 kStep,
                 aPatch.m_key.Value(),
                 std::to_string(aPatch.m_size.Value()) + " bytes, at most " +
                   std::to_string(kMaxPatchedBytes.Value()));
  }
  BOOST_OUTCOME_TRY(auto body,
                    aCodec.Decode(aBase.m_body, aPatch.m_bytes, aPatch.m_size));
  if (body.size() != aPatch.m_size.Value() ||
      StableHash(body) != aPatch.m_hash) {
    return Error(ErrorCode::Malformed,
                 kStep,
                 aPatch.m_key.Value(),
                 "the result does not have the stated size and hash");
  }
  return Document{ aPatch.m_key,
                   aPatch.m_revision,
                   std::move(body),
                   aPatch.m_version,
                   aPatch.m_created };
}

} // namespace tarragontray
