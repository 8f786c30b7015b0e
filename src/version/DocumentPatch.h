/// \file
/// The difference between two versions of one document.
///
/// Successive versions of a large document differ little, so that a patch fits
/// into a datagram where the document does not:
///
///     Result<DocumentPatch> patch = MakePatch(codec, former, current);
///     Result<Document> received = ApplyPatch(codec, patch.value(), held);
///
/// A patch names the version that it applies to and carries a hash of the
/// result, so that it either yields exactly the newer version or fails.
///
/// Thread safety: values and pure functions.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Units.h"
#include "version/Document.h"

namespace tarragontray {

/// Encodes the difference between two texts. Thread safety: any thread.
class PatchCodec
{
public:
  virtual ~PatchCodec() = default;

  /// The bytes from which Decode() restores aTarget, given aBase. Errors:
  /// Internal.
  virtual Result<std::string> Encode(std::string_view aBase,
                                     std::string_view aTarget) const = 0;
  /// Restores a text of aSize bytes. Allocates no more than that for the
  /// result, whatever aPatch holds. Errors: Malformed.
  virtual Result<std::string> Decode(std::string_view aBase,
                                     std::string_view aPatch,
                                     ByteCount aSize) const = 0;
};

/// The largest body that a patch may produce; the limit of the platform's
/// objects.
inline constexpr ByteCount kMaxPatchedBytes{ 1U << 20U };

/// The change from one version of a document to a later one.
struct DocumentPatch
{
  ObjectKey m_key;
  /// The version that the patch applies to, and the hash of its body.
  Revision m_base;
  std::uint64_t m_baseHash = 0;
  /// The resulting version; see Document.
  Revision m_revision;
  WriterVersion m_version{};
  Revision m_created{};
  /// The size and the hash of the resulting body.
  ByteCount m_size{ 0 };
  std::uint64_t m_hash = 0;
  /// The output of PatchCodec::Encode().
  std::string m_bytes;

  bool operator==(const DocumentPatch&) const = default;
};

/// Precondition: both are versions of the same document, with bodies. Errors:
/// as PatchCodec::Encode().
Result<DocumentPatch>
MakePatch(const PatchCodec& aCodec,
          const Document& aBase,
          const Document& aTarget);

/// Errors: Conflict when aBase is not the version that the patch applies to,
/// Malformed when the result does not have the stated size and hash.
Result<Document>
ApplyPatch(const PatchCodec& aCodec,
           const DocumentPatch& aPatch,
           const Document& aBase);

} // namespace tarragontray
