/// \file
/// One object of the platform, as nodes keep and pass it on.
///
/// Keys in use: "templates/NAME/VERSION", "configurations/ACCOUNT",
/// "moves/ACCOUNT/SERVICE/REVISION" (outcomes), "ledger/VM".
/// The platform's revision orders the versions of one key; a node keeps the
/// highest that it saw.
///
/// Thread safety: values.
#pragma once

#include <string>

#include "base/Ids.h"

namespace tarragontray {

/// An object's key, revision and bytes (JSON text).
struct Document
{
  ObjectKey m_key;
  Revision m_revision;
  std::string m_body;

  bool operator==(const Document&) const = default;
};

} // namespace tarragontray
