/// \file
/// The previous versions of one account's configuration: the object
/// "history/ACCOUNT".
///
/// A writer adds the version in force here before replacing it, so that earlier
/// versions can be read back until the limits below evict them. Nodes do not
/// read this object, so it adds nothing to the control traffic.
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
/// Limit on the sum of the bodies. An object can hold 1 MB.
inline constexpr ByteCount kMaxHistoryBytes{ 393'216 };

/// A replaced version.
struct HistoryEntry
{
  Revision m_revision;
  /// The operation that wrote this version.
  OperationId m_operation;
  std::string m_body;
  WallTime m_replacedAt{};

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

  /// Adds a version, then evicts the oldest versions beyond the limits; the
  /// newest version always stays. False when the history already has an entry
  /// of this revision. Thread safety: one thread.
  bool Add(HistoryEntry aEntry);
  /// The entry of a revision, or null. Thread safety: one thread.
  const HistoryEntry* Find(Revision aRevision) const;
  /// The first entry that the operation wrote, or null. Thread safety: one
  /// thread.
  const HistoryEntry* FindByOperation(const OperationId& aOperation) const;
  /// All entries in ascending order of revision. Thread safety: one thread.
  const std::vector<HistoryEntry>& Entries() const { return m_entries; }

private:
  std::vector<HistoryEntry> m_entries;
};

} // namespace tarragontray
