/// \file
/// A model of the systems served: the targets of an old and a new version.
///
///     UpstreamModel model(settings);
///     ModelAnswer answer = model.Answer(call, now, random);
///
/// Service times are log-normal. A target slows down as its slots fill and
/// fails calls beyond them. Faults add failures, caller errors or slowness by
/// time, version, route, data centre, target and load.
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

/// Time since the session began.
using SessionTime = Duration;

/// What goes wrong, where and when. Unset members match everything.
struct ModelFault
{
  std::optional<VersionSide> m_side;
  std::optional<std::size_t> m_dataCentre;
  std::optional<std::size_t> m_target;
  std::optional<std::size_t> m_route;
  SessionTime m_begin{ 0 };
  SessionTime m_end = std::chrono::hours(24);
  /// IsActive only while the target's slots are used beyond this part.
  double m_aboveLoad = 0.0;
  double m_failureRate = 0.0;
  double m_callerErrorRate = 0.0;
  double m_slowdown = 1.0;
};

/// The systems served.
struct ModelSettings
{
  std::size_t m_targets = 3;
  std::size_t m_slots = 12;
  Duration m_serviceTime = std::chrono::milliseconds(100);
  /// Standard deviation of the logarithm of the service time.
  double m_spread = 0.4;
  /// Failures of every version at all times.
  double m_baseFailureRate = 0.001;
  double m_baseCallerErrorRate = 0.01;
  /// Slowdown and length of a new target's cold start.
  double m_coldSlowdown = 1.0;
  Duration m_coldTime{ 0 };
  std::vector<ModelFault> m_faults;
};

/// One call for the model.
struct ModelCall
{
  VersionSide m_side = VersionSide::Old;
  std::size_t m_dataCentre = 0;
  std::size_t m_target = 0;
  std::size_t m_route = 0;
};

/// What a call met.
struct ModelAnswer
{
  bool m_failed = false;
  bool m_isCallerError = false;
  Duration m_latency{ 0 };
  /// A fault of the new version alone made it worse.
  bool m_isVersionFault = false;
};

/// See the file comment.
class UpstreamModel
{
public:
  explicit UpstreamModel(ModelSettings aSettings)
    : m_settings(std::move(aSettings))
  {
  }

  const ModelSettings& Settings() const { return m_settings; }

  /// The answer to a call. Precondition: times do not go back.
  ModelAnswer Answer(const ModelCall& aCall, SessionTime aNow, Random& aRandom);

private:
  /// A target's load over the last moments.
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

/// A draw from the standard normal distribution.
double
DrawNormal(Random& aRandom);

/// A draw from the Poisson distribution. Precondition: aMean is not negative.
std::size_t
DrawPoisson(double aMean, Random& aRandom);

} // namespace tarragontray::testing
