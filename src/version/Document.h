/// \file
/// An object of the platform's object store, as nodes store and distribute it.
///
/// Keys: "templates/NAME/VERSION", "configurations/ACCOUNT",
/// "moves/ACCOUNT/SERVICE/PLAN" (outcomes), "ledger/VM".
/// Revisions order the versions of one key; a node keeps the highest revision
/// that it has received.
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
