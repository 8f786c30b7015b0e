/// \file
/// Patches by Zstandard: the newer text is compressed with the older one as
/// its prefix, so that what both share costs a few bytes.
///
///     const std::shared_ptr<const PatchCodec> codec = MakeZstdPatchCodec();
///
/// Thread safety: any thread.
#pragma once

#include <memory>

#include "version/DocumentPatch.h"

namespace tarragontray {

std::shared_ptr<const PatchCodec>
MakeZstdPatchCodec();

} // namespace tarragontray
