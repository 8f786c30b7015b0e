/// \file
/// A simulation model of the upstreams: the targets of an old and a new
/// version.
///
///     UpstreamModel model(settings);
///     ModelAnswer answer = model.Answer(call, now, random);
///
/// Service times are log-normal. A target slows down as its slots fill up and
/// fails calls in excess of its capacity. Faults add failures, caller errors or
/// latency, selected by time, version, route, data centre, target and load.
///
/// For tests and experiments. Thread safety: one thread.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "base/Random.h"
#include "base/Units.h"
#include "version/EvidenceWindow.h"

namespace tarragontray::testing {

/// The time since the start of the session.
using SessionTime = Duration;

/// A fault and the calls that it affects. Unset selectors match all calls.
struct ModelFault
{
  std::optional<VersionSide> m_side;
  std::optional<std::size_t> m_dataCentre;
  std::optional<std::size_t> m_target;
  std::optional<std::size_t> m_route;
  SessionTime m_begin{ 0 };
  SessionTime m_end = std::chrono::hours(24);
  /// The fault is active only if the target's load, as a fraction of its
  /// capacity, is at least this.
  double m_aboveLoad = 0.0;
  double m_failureRate = 0.0;
  double m_callerErrorRate = 0.0;
  double m_slowdown = 1.0;
  /// The fraction of the calls that the slowdown applies to.
  double m_slowdownRate = 1.0;
};

/// The settings of the modelled upstreams.
struct ModelSettings
{
  std::size_t m_targets = 3;
  std::size_t m_slots = 12;
  Duration m_serviceTime = std::chrono::milliseconds(100);
  /// Standard deviation of the logarithm of the service time.
  double m_spread = 0.4;
  /// The failure rate of both versions without faults.
  double m_baseFailureRate = 0.001;
  double m_baseCallerErrorRate = 0.01;
  /// The slowdown factor and the length of a new target's cold start.
  double m_coldSlowdown = 1.0;
  Duration m_coldTime{ 0 };
  /// Time constant of the exponential smoothing of a target's load.
  Duration m_loadTime = std::chrono::seconds(2);
  /// The slowdown factor of each target, repeated if there are more targets.
  std::vector<double> m_targetSlowdowns{ 1.0 };
  std::vector<ModelFault> m_faults;
};

/// One call to the model.
struct ModelCall
{
  VersionSide m_side = VersionSide::Old;
  std::size_t m_dataCentre = 0;
  std::size_t m_target = 0;
  std::size_t m_route = 0;
};

/// The result of a call.
struct ModelAnswer
{
  bool m_failed = false;
  bool m_isCallerError = false;
  Duration m_latency{ 0 };
  /// Whether a fault of the new version alone affected the call.
  bool m_isVersionFault = false;
};

/// A simulation model of the upstreams; see the file comment.
class UpstreamModel
{
public:
  explicit UpstreamModel(ModelSettings aSettings)
    : m_settings(std::move(aSettings))
  {
  }

  const ModelSettings& Settings() const { return m_settings; }

  /// Returns the answer to a call. Precondition: times do not decrease.
  ModelAnswer Answer(const ModelCall& aCall, SessionTime aNow, Random& aRandom);

private:
  /// A target's recent load.
  struct TargetState
  {
    std::optional<SessionTime> m_firstCall;
    SessionTime m_lastCall{ 0 };
    double m_callsPerSecond = 0.0;
  };
  using TargetKey = std::tuple<VersionSide, std::size_t, std::size_t>;

  double UpdateLoad(TargetState& aState, SessionTime aNow) const;
  bool IsActive(const ModelFault& aFault,
                const ModelCall& aCall,
                SessionTime aNow,
                double aLoad) const;

  ModelSettings m_settings;
  std::map<TargetKey, TargetState> m_states;
};

/// Draws from the standard normal distribution.
double
DrawNormal(Random& aRandom);

/// Draws from the Poisson distribution. Precondition: aMean is not negative.
std::size_t
DrawPoisson(double aMean, Random& aRandom);

} // namespace tarragontray::testing
