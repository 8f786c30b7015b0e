/// \file
/// Decides whether an upstream is or may be cold, and when to ask it.
///
/// A cold upstream tolerates fewer calls than a warm one. It is not known to be
/// warm when this node has just started, when another process of it announces
/// itself, after it could not be reached or was silent, and after an
/// evacuation. Such an event is a doubt. It ends by a report of the upstream
/// that it is not cold, from a health answer that was requested after the
/// event, or from a heartbeat that was sent after it. Without a doubt no health
/// request is made.
///
///     upstream.Doubt(DoubtReason::Unreachable, now);
///     if (upstream.TakeHealthRequest(now)) { ask the upstream }
///     upstream.OnHealthAnswer(coldRemaining, now);
///     limiter.SetLimit(upstream.Rate(), now);
///
/// Thread safety: one thread for each instance.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/Units.h"
#include "process/DepartedUpstreams.h"
#include "request/Call.h"

namespace tarragontray {

/// How many calls a cold upstream gets beyond its stated rate at most, in any
/// second.
struct ColdAllowance
{
  /// A multiple of the stated rate.
  double m_excess = 1.0;
  double m_slack = 0;
};

/// What a service's configuration states about its cold upstreams.
struct ColdBounds
{
  /// The calls per second that a cold upstream tolerates; not set: any number.
  std::optional<CallRate> m_rate;
  /// The HTTP target of health requests; empty: there is none.
  std::string m_healthTarget;

  bool operator==(const ColdBounds&) const = default;
};

/// The part of an announcement that tells whether the upstream is cold.
struct UpstreamHeartbeat
{
  UpstreamProcess m_process;
  /// Zero when it is warm.
  Duration m_coldRemaining{ 0 };
};

/// Why an upstream may be cold.
enum class DoubtReason : std::uint8_t
{
  /// This node has just started.
  Start,
  /// Another process of the upstream announced itself.
  NewProcess,
  /// Calls could not be connected, or were reset or timed out in a row.
  Unreachable,
  /// No heartbeat came for kMaxSilence, or it counts as absent.
  Silent,
  /// It got no calls during an evacuation.
  Evacuated,
  /// It reports that it is cold.
  Reported,
};

/// "start", "new-process", "unreachable", "silent", "evacuated" or "reported".
std::string_view
Name(DoubtReason aReason);

/// See the file comment.
class ColdUpstream
{
public:
  /// Longer than two intervals of heartbeats, which are sent every 1.5 s.
  static constexpr Duration kMaxSilence = std::chrono::milliseconds(3'250);
  /// Calls in a row that were lost without an answer.
  static constexpr int kMaxLost = 3;

  /// Sets the bounds from the configuration.
  void SetBounds(const ColdBounds& aBounds) { m_bounds = aBounds; }
  /// Whether calls may be sent to it now. While they may not, no health request
  /// is due.
  void SetInUse(bool aIsInUse) { m_isInUse = aIsInUse; }

  /// \name Events
  /// \{
  void Doubt(DoubtReason aReason, MonotonicTime aNow);
  /// Precondition: the heartbeat is newer than the ones before.
  void OnHeartbeat(const UpstreamHeartbeat& aHeartbeat, MonotonicTime aNow);
  /// The answer to the health request, or its failure when not set.
  void OnHealthAnswer(std::optional<Duration> aColdRemaining,
                      MonotonicTime aNow);
  /// A call ended that this node had not aborted.
  void OnCallEnded(const Answer& aAnswer, MonotonicTime aNow);
  void Tick(MonotonicTime aNow);
  /// \}

  /// When Tick() or TakeHealthRequest() is due; not set when neither is.
  std::optional<MonotonicTime> NextTick() const;
  /// Whether a health request is to be sent now. Precondition: each request is
  /// followed by OnHealthAnswer().
  bool TakeHealthRequest(MonotonicTime aNow);
  const std::string& HealthTarget() const;

  bool IsDoubtful() const { return m_isDoubtful; }
  DoubtReason Reason() const { return m_reason; }
  /// The calls per second that may be started at present; not set: any number.
  std::optional<CallRate> Rate() const;

private:
  static constexpr Duration kFirstAskInterval = std::chrono::milliseconds(500);

  bool IsHealthDue() const;
  void OnReport(Duration aColdRemaining, MonotonicTime aNow);

  /// Not set until the configuration is known.
  std::optional<ColdBounds> m_bounds;
  bool m_isInUse = false;
  bool m_isDoubtful = true;
  DoubtReason m_reason = DoubtReason::Start;
  MonotonicTime m_doubtAt{};
  /// Heartbeats since the doubt began.
  int m_heartbeats = 0;
  /// A report told that it is cold until then.
  MonotonicTime m_coldUntil{};
  std::optional<UpstreamProcess> m_process;
  std::optional<MonotonicTime> m_heardAt;
  int m_lost = 0;
  bool m_isAsking = false;
  MonotonicTime m_askedAt{};
  MonotonicTime m_askAt{};
  Duration m_askInterval = kFirstAskInterval;
};

} // namespace tarragontray
