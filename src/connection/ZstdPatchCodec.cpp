#include "connection/ZstdPatchCodec.h"

#include <algorithm>
#include <bit>
#include <cstddef>
#include <string>

#include <zstd.h>

namespace tarragontray {

namespace {

constexpr char kEncodeStep[] = "patch.encode";
constexpr char kDecodeStep[] = "patch.decode";
/// Higher levels take several times as long for texts that differ little.
constexpr int kLevel = 3;
constexpr int kMinWindowLog = 10;

struct FreeContext
{
  void operator()(ZSTD_CCtx* aContext) const { ZSTD_freeCCtx(aContext); }
  void operator()(ZSTD_DCtx* aContext) const { ZSTD_freeDCtx(aContext); }
};

/// The window must reach from the end of the new text to the begin of its
/// prefix.
int
WindowLog(std::size_t aBytes)
{
  return std::max(kMinWindowLog, static_cast<int>(std::bit_width(aBytes)));
}

class ZstdPatchCodec final : public PatchCodec
{
public:
  Result<std::string> Encode(std::string_view aBase,
                             std::string_view aTarget) const override
  {
    const std::unique_ptr<ZSTD_CCtx, FreeContext> context(ZSTD_createCCtx());
    if (!context) {
      return Error(ErrorCode::Internal, kEncodeStep, "", "no memory");
    }
    std::string patch(ZSTD_compressBound(aTarget.size()), '\0');
    std::size_t status =
      ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kLevel);
    if (ZSTD_isError(status) == 0) {
      status = ZSTD_CCtx_setParameter(context.get(),
                                      ZSTD_c_windowLog,
                                      WindowLog(aBase.size() + aTarget.size()));
    }
    if (ZSTD_isError(status) == 0) {
      status = ZSTD_CCtx_refPrefix(context.get(), aBase.data(), aBase.size());
    }
    if (ZSTD_isError(status) == 0) {
      status = ZSTD_compress2(context.get(),
                              patch.data(),
                              patch.size(),
                              aTarget.data(),
                              aTarget.size());
    }
    if (ZSTD_isError(status) != 0) {
      return Error(
        ErrorCode::Internal, kEncodeStep, "", ZSTD_getErrorName(status));
    }
    patch.resize(status);
    return patch;
  }

  Result<std::string> Decode(std::string_view aBase,
                             std::string_view aPatch,
                             ByteCount aSize) const override
  {
    const std::unique_ptr<ZSTD_DCtx, FreeContext> context(ZSTD_createDCtx());
    if (!context) {
      return Error(ErrorCode::Internal, kDecodeStep, "", "no memory");
    }
    std::string target(aSize.Value(), '\0');
    std::size_t status =
      ZSTD_DCtx_refPrefix(context.get(), aBase.data(), aBase.size());
    if (ZSTD_isError(status) == 0) {
      status = ZSTD_decompressDCtx(context.get(),
                                   target.data(),
                                   target.size(),
                                   aPatch.data(),
                                   aPatch.size());
    }
    if (ZSTD_isError(status) != 0) {
      return Error(
        ErrorCode::Malformed, kDecodeStep, "", ZSTD_getErrorName(status));
    }
    target.resize(status);
    return target;
  }
};

} // namespace

std::shared_ptr<const PatchCodec>
MakeZstdPatchCodec()
{
  return std::make_shared<ZstdPatchCodec>();
}

} // namespace tarragontray
