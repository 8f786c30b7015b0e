/// \file
/// A simulation, in virtual time, of services that call each other: several
/// kinds of calls share upstreams, and a call holds its slot while its inner
/// calls run. It drives the production decision classes.
///
///     MixSettings settings = PreOrderMix();
///     settings.m_load = 1.3;
///     MixResult result = RunMix(settings);
///     double share = result.Kind("order").ValueShare();
///
/// Every upstream has an entry node on its VM. Callers' calls arrive as Poisson
/// processes at random entry nodes; inner calls at the entry node of their
/// parent's VM. Callers try again after a refusal, when that leaves them two
/// thirds of their time. Nothing fails in this model.
///
/// Thread safety: one thread for each call of RunMix.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"

namespace tarragontray::testing {

/// Calls that 0.7 of the calls of a kind make after their own work.
struct InnerCalls
{
  /// Index of their kind; not set without inner calls.
  std::size_t m_kind = SIZE_MAX;
  int m_count = 0;
  bool m_isConcurrent = false;
};

struct MixKind
{
  std::string m_name;
  /// Index of the service, and of another that gets a part of the calls.
  std::size_t m_service = 0;
  std::size_t m_otherService = 0;
  double m_otherShare = 0;
  /// Calls per second of callers; 0 for an inner kind.
  double m_rate = 0;
  Duration m_work{ 0 };
  Duration m_objective{ 0 };
  Duration m_deadline{ 0 };
  double m_value = 0;
  double m_lateValue = 0;
  std::uint8_t m_priority = 0;
  bool m_idempotent = false;
  InnerCalls m_inner = {};
  /// Mean size of the bodies.
  double m_bodyBytes = 0;
};

struct MixService
{
  std::string m_name;
  std::size_t m_targets = 0;
};

struct MixSettings
{
  std::uint64_t m_seed = 1;
  std::vector<MixService> m_services;
  std::vector<MixKind> m_kinds;
  std::uint32_t m_slots = 6;
  std::size_t m_queueLimit = 24;
  /// Callers' rates are multiplied so that the slots of the most loaded service
  /// would be in use by this factor, without any wait.
  double m_load = 1;
  Duration m_duration = std::chrono::seconds(16);
  /// Calls that start during this time are not counted.
  Duration m_warmUp = std::chrono::seconds(4);
  /// The slowest upstream takes this many times as long as the fastest.
  double m_speedRange = 2.7;
  /// Every 600 ms this part of the upstreams gets a pace of up to 250 %.
  double m_pacedShare = 0.15;
  /// Callers' accounts by their rates; one that is named "owner" when empty.
  std::vector<double> m_accounts;
  /// From m_warmUp, the first account's rate is multiplied by this.
  double m_flood = 1;
};

/// Results of the callers' calls of one kind or one account.
struct MixStats
{
  std::string m_name;
  std::uint64_t m_offered = 0;
  std::uint64_t m_inTime = 0;
  std::uint64_t m_late = 0;
  /// Ended as not run, by the last answer of the caller's attempts.
  std::uint64_t m_refused = 0;
  /// Ended as a 500 of an upstream, because of an inner call.
  std::uint64_t m_failed = 0;
  std::uint64_t m_unknown = 0;
  /// Refused or unknown after an attempt that took more than half of the
  /// call's time.
  std::uint64_t m_heldToDeadline = 0;
  double m_value = 0;
  double m_offeredValue = 0;

  double ValueShare() const
  {
    return m_offeredValue > 0 ? m_value / m_offeredValue : 0;
  }
  double ServedShare() const
  {
    return m_offered > 0 ? static_cast<double>(m_inTime + m_late) /
                             static_cast<double>(m_offered)
                         : 0;
  }
};

struct MixResult
{
  std::vector<MixStats> m_kinds;
  std::vector<MixStats> m_accounts;
  /// Use of the slots of each service at a load of 1, relative to the most
  /// loaded one.
  std::vector<double> m_use;

  /// Precondition: there is a kind of this name.
  const MixStats& Kind(const std::string& aName) const;
  MixStats Total() const;
  /// One line for each kind.
  std::string Text() const;
};

/// The kinds and services of the second deployment (docs/HARD-LOAD.md).
MixSettings
PreOrderMix();

/// The kinds and services of the first deployment, with 20 accounts.
MixSettings
StationsMix();

MixResult
RunMix(const MixSettings& aSettings);

} // namespace tarragontray::testing
