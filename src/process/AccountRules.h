/// \file
/// The rates of accounts as the pool of a coordinator and the fronts of entry
/// nodes apply them, and the constants that both have to agree on.
///
/// The calls of an account in any window W are at most (rate x W + burst) x 1.1
/// + slack. Half of the slack raises the rate, so that small accounts are
/// served wherever their callers are. The tenth covers the time that tokens
/// live outside of a bucket, which is at most a tenth of the window. The other
/// half of the slack, and a tenth of the burst, cover that each bucket holds
/// one token beyond its part of the burst.
///
/// Thread safety: values.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "base/Ids.h"
#include "base/Units.h"
#include "connection/LeaseMessages.h"
#include "version/Configuration.h"

namespace tarragontray {

/// How long a node counts at a coordinator after the coordinator's reply that
/// the node's last request repeats.
inline constexpr Duration kCountedFor = std::chrono::seconds(1);
/// The time for which a node must not have counted elsewhere before it counts
/// at a coordinator. Above kCountedFor by the drift of two clocks and more.
inline constexpr Duration kExclusiveFor = std::chrono::milliseconds(1200);

struct RateSettings
{
  Duration m_window = std::chrono::seconds(5);
  /// Calls that may be made above the limit in each window.
  CallCount m_slack{ 20 };

  /// How long an entry node may keep a token, from its request on.
  Duration GrantLife() const { return m_window * 7 / 100; }
  /// How long a pool may keep transferred tokens that don't fit into its
  /// bucket, from its request on.
  Duration TransferLife() const { return m_window * 3 / 100; }
  /// Added to every account's rate.
  CallRate ExtraRate() const
  {
    const double window = std::chrono::duration<double>(m_window).count();
    return CallRate(static_cast<double>(m_slack.Value()) / (2 * 1.1 * window));
  }
};

/// The accounts that have a rate.
using AccountRates = std::map<ClientAccountId, AccountRate>;

/// The accounts of the configuration that have a rate.
inline AccountRates
RatesOf(const Configuration& aConfiguration)
{
  AccountRates rates;
  for (const CallerAccount& account : aConfiguration.m_callers) {
    if (account.m_rate) {
      rates.emplace(account.m_id, *account.m_rate);
    }
  }
  return rates;
}

} // namespace tarragontray
