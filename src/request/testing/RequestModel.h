/// \file
/// A small event-driven model of targets and entry nodes in virtual time that
/// drives the real decision classes, to compare policies on the same seed.
///
///     ModelSettings settings;
///     settings.m_phases = { { std::chrono::seconds(20), 0.9 } };
///     ModelResult result = RunModel(settings);
///
/// Service times are exponential. A slow target serves at a third of the
/// speed; a misleading one announces twice its slots and reports no load. Runs
/// beyond the true slots share them. Calls arrive by a Poisson process for
/// each account, at entry nodes with policies of their own.
///
/// Thread safety: one thread for each call of RunModel.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"

namespace tarragontray::testing {

enum class BalancingKind : std::uint8_t
{
  TwoChoices,
  RoundRobin,
};
enum class AdmissionKind : std::uint8_t
{
  Fair,
  Fifo,
};
enum class RetryKind : std::uint8_t
{
  Budget,
  ThreeTries,
};

/// Offered load relative to the true capacity, from the former phase's end.
struct LoadPhase
{
  Duration m_end{ 0 };
  double m_load = 0;
};

/// Some targets fail some of their calls while it lasts.
struct Outage
{
  /// Part of the targets that is hit, and part of its calls that fails.
  double m_targets = 0.5;
  double m_calls = 1;
  Duration m_start{ 0 };
  Duration m_end{ 0 };
};

struct ModelSettings
{
  std::uint64_t m_seed = 1;
  BalancingKind m_balancing = BalancingKind::TwoChoices;
  AdmissionKind m_admission = AdmissionKind::Fair;
  RetryKind m_retries = RetryKind::Budget;
  std::size_t m_targets = 8;
  std::size_t m_entryNodes = 4;
  std::uint32_t m_slots = 12;
  std::size_t m_queueLimit = 64;
  Duration m_serviceTime = std::chrono::milliseconds(10);
  Duration m_timeout = std::chrono::milliseconds(500);
  /// The last target is slow and the one before misleads.
  bool m_hasDegradedTargets = true;
  /// Calls that may be sent again.
  double m_idempotentShare = 0.7;
  /// Each steady account's load relative to the true capacity; the flooding
  /// account offers the rest.
  std::vector<double> m_steadyLoads{ 0.15, 0.15 };
  std::vector<LoadPhase> m_phases{ { std::chrono::seconds(10), 0.9 } };
  std::optional<Outage> m_outage;
  /// Calls that start before are not counted.
  Duration m_warmUp = std::chrono::seconds(2);
};

/// What one account's calls came to.
struct AccountStats
{
  std::string m_account;
  std::uint64_t m_offered = 0;
  /// Answered in time without a server error.
  std::uint64_t m_done = 0;
  std::uint64_t m_notRun = 0;
  std::uint64_t m_unknown = 0;
  /// Of the calls done, in milliseconds, sorted.
  std::vector<double> m_latencies;
};

/// What happened in one second.
struct SecondStats
{
  std::uint64_t m_offered = 0;
  std::uint64_t m_done = 0;
  /// Runs at upstreams, of first and further attempts.
  std::uint64_t m_runs = 0;
  std::vector<double> m_latencies;
};

struct ModelResult
{
  /// The steady accounts, then the flooding one.
  std::vector<AccountStats> m_accounts;
  std::vector<SecondStats> m_seconds;

  /// All accounts together.
  AccountStats Total() const;
};

/// Runs the model to its last phase's end and until all calls have ended.
ModelResult
RunModel(const ModelSettings& aSettings);

/// The value below which aPart of the sorted values lie; 0 when there is none.
double
Percentile(const std::vector<double>& aSorted, double aPart);

} // namespace tarragontray::testing
