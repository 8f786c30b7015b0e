/// \file
/// The former versions of one account's object: "history/ACCOUNT".
///
/// Whoever replaces a version first adds it here, so that every version that
/// was in force can be read back for as long as the bounds allow. Nodes do not
/// read this object: it costs no control bytes.
///
///     Result<ConfigurationHistory> history =
///       ConfigurationHistory::Decode(object.m_document.m_body);
///     history.value().Add({ revision, operation, body, clock.WallNow() });
///     Put(history.value().Encode());
///
/// Thread safety: one thread.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Units.h"

namespace tarragontray {

inline constexpr std::size_t kMaxHistoryEntries = 32;
/// All bodies together; an object holds 1 MB.
inline constexpr ByteCount kMaxHistoryBytes{ 393'216 };

/// One version that was replaced.
struct HistoryEntry
{
  Revision m_revision;
  /// The operation that wrote it.
  OperationId m_operation;
  std::string m_body;
  WallTime m_replaced{};

  bool operator==(const HistoryEntry&) const = default;
};

/// See the file comment.
class ConfigurationHistory
{
public:
  ConfigurationHistory() = default;

  /// Errors: Malformed. Thread safety: any thread.
  static Result<ConfigurationHistory> Decode(std::string_view aText);
  /// Thread safety: one thread.
  std::string Encode() const;

  /// Adds a version and drops the oldest ones over the bounds. False when it
  /// is there already. Thread safety: one thread.
  bool Add(HistoryEntry aEntry);
  /// Null when it is not there. Thread safety: one thread.
  const HistoryEntry* Find(Revision aRevision) const;
  /// Null when it is not there. Thread safety: one thread.
  const HistoryEntry* FindByOperation(const OperationId& aOperation) const;
  /// By revision, the oldest first. Thread safety: one thread.
  const std::vector<HistoryEntry>& Entries() const { return m_entries; }

private:
  std::vector<HistoryEntry> m_entries;
};

} // namespace tarragontray
