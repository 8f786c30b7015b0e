/// \file
/// What goes wrong in standin-upstream on purpose, by route and by time.
///
/// As JSON, a list of rules; every field but "path" may be left out:
///
///     [{"path": "/seats", "fail": 0.3, "slow": 5, "cut": 0.01,
///       "from_ms": 2000, "until_ms": 60000, "above_running": 8}]
///
/// "fail" and "cut" are probabilities, "slow" multiplies the service time,
/// the times count from when the rules were set, and "above_running" limits a
/// rule to times when more calls than that run.
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
  /// The rule holds for targets that start with it.
  std::string m_path;
  double m_fail = 0;
  double m_cut = 0;
  double m_slow = 1;
  Duration m_from{ 0 };
  Duration m_until{ Duration::max() };
  std::uint32_t m_aboveRunning = 0;
};

/// The faults that one call meets.
struct CallFaults
{
  double m_fail = 0;
  double m_cut = 0;
  double m_slow = 1;
};

/// Joins the rules that hold: the largest probabilities, the product of
/// factors.
CallFaults
FaultsFor(const std::vector<FaultRule>& aRules,
          std::string_view aTarget,
          Duration aSinceSet,
          std::uint32_t aRunning);

/// Nothing when the text is not as documented.
std::optional<std::vector<FaultRule>>
DecodeFaultRules(std::string_view aText);

} // namespace tarragontray
