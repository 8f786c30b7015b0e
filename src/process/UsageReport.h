/// \file
/// What accounts used of each other's capacity, as one node counted it.
///
/// Thread safety: values.
#pragma once

#include <compare>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"

namespace tarragontray {

/// A pair of accounts: the one that used capacity and the one that owns it.
struct UsageKey
{
  ClientAccountId m_using;
  ClientAccountId m_owning;

  auto operator<=>(const UsageKey&) const = default;
};

/// Cumulative usage; both fields are monotonic.
struct Usage
{
  CallCount m_calls;
  /// Total time for which slots were occupied.
  Duration m_slotTime{ 0 };

  bool operator==(const Usage&) const = default;
};

struct UsageEntry
{
  UsageKey m_key;
  Usage m_usage;

  bool operator==(const UsageEntry&) const = default;
};

/// All counts of one incarnation of one node.
struct UsageReport
{
  VmId m_vm;
  Incarnation m_incarnation;
  /// Sorted by key.
  std::vector<UsageEntry> m_entries;

  bool operator==(const UsageReport&) const = default;
};

} // namespace tarragontray
