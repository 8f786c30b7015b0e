/// \file
/// Fault rules of standin-upstream, restricted by path, time and number of
/// running calls.
///
/// In JSON a list of at most 64 rules; every field is optional:
///
///     [{"path": "/seats", "fail": 0.3, "slow": 5, "cut": 0.01,
///       "from_ms": 2000, "until_ms": 60000, "above_running": 8}]
///
/// A rule applies to targets that start with "path", from "from_ms" until
/// before "until_ms" after the rules were set, while at least "above_running"
/// other calls are running. "fail" and "cut" are the probabilities of a 500 and
/// of a truncated answer; "slow" multiplies the service time.
///
/// Thread safety: values and pure functions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Units.h"

namespace tarragontray {

/// One rule; see the file comment.
struct FaultRule
{
  /// Prefix of the targets; empty: all targets.
  std::string m_path;
  double m_fail = 0;
  double m_cut = 0;
  double m_slow = 1;
  Duration m_from{ 0 };
  Duration m_until{ Duration::max() };
  std::uint32_t m_aboveRunning = 0;
};

/// The faults that apply to one call.
struct CallFaults
{
  double m_fail = 0;
  double m_cut = 0;
  double m_slow = 1;
};

/// Combines the rules that apply to a call: the largest of each probability,
/// the product of the factors.
/// \param aSinceSet time since the rules were set.
/// \param aRunning number of running calls, this one not included.
CallFaults
FaultsFor(const std::vector<FaultRule>& aRules,
          std::string_view aTarget,
          Duration aSinceSet,
          std::uint32_t aRunning);

/// Returns nullopt when aText is not a valid list of rules.
std::optional<std::vector<FaultRule>>
DecodeFaultRules(std::string_view aText);

} // namespace tarragontray
