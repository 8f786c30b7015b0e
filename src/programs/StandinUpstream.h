/// \file
/// The stand-in for an upstream: slots, cold start, faults, drain and a log.
///
/// It serves any path. `?bytes=N` in a target asks for N bytes of filler in
/// the answer (programs/AnswerBody.h). Calls over its slots, and new calls
/// while it drains, are shed with 503 and `x-not-run: 1`.
///
///     auto upstream = StandinUpstream::Create(context, clock, settings);
///     upstream.value()->Drain([&context]() { context.stop(); });
///
/// Admin port:
///
/// | request | answer |
/// | --- | --- |
/// | `GET /executions` | the log (programs/ExecutionLog.h) |
/// | `GET /executions/count` | `{"executions", "repeated", "running", "shed"}`
/// | | `POST /faults` | sets the rules (programs/UpstreamFaults.h) | | `POST
/// /report` | sets `{"lag_ms", "running", "state"}`: how its report lies | |
/// `POST /drain` | drains as on SIGTERM | | `GET /load` | the report as it is
/// announced |
///
/// Thread safety: one thread, the one that runs the io_context.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/Clock.h"
#include "base/NetworkAddress.h"
#include "base/Result.h"
#include "connection/HttpClient.h"
#include "programs/ExecutionLog.h"
#include "programs/FaultyHttpServer.h"
#include "programs/UpstreamBehaviour.h"

namespace tarragontray {

/// Who the upstream is and where it listens.
struct StandinUpstreamSettings
{
  VmId m_vm;
  ClientAccountId m_account;
  ServiceName m_service;
  UpstreamVersion m_version;
  NetworkAddress m_address;
  NetworkAddress m_adminAddress;
  /// The admin address of the VM's node; not set: announces nothing.
  NetworkAddress m_nodeAddress;
  UpstreamBehaviourSettings m_behaviour;
  std::vector<FaultRule> m_rules;
  /// Filler of answers to targets that ask for none.
  std::size_t m_answerBytes = 256;
  /// After a drain began it stays at least so long, and sheds.
  Duration m_lingerTime{ std::chrono::seconds(1) };
};

/// How the announced report differs from the truth.
struct ReportFaults
{
  /// The report shows the load of so long ago.
  Duration m_lag{ 0 };
  /// Announced instead of the true number of running calls.
  std::optional<std::uint32_t> m_running;
  /// Announced instead of the true state.
  std::string m_state;
};

/// See the file comment.
class StandinUpstream
{
public:
  /// Listens on both addresses and announces itself each second.
  /// Errors: Unreachable.
  /// Precondition: aContext and aClock outlive the stand-in.
  static Result<std::unique_ptr<StandinUpstream>> Create(
    boost::asio::io_context& aContext,
    const Clock& aClock,
    StandinUpstreamSettings aSettings);
  ~StandinUpstream();

  NetworkAddress Address() const { return m_server->Address(); }
  NetworkAddress AdminAddress() const { return m_admin->Address(); }
  const ExecutionLog& Log() const { return m_log; }
  std::uint32_t Running() const { return m_running; }
  std::uint64_t ShedCalls() const { return m_shed; }
  std::uint64_t Announcements() const { return m_announcements; }
  void SetRules(std::vector<FaultRule> aRules);
  void SetReportFaults(const ReportFaults& aFaults) { m_report = aFaults; }
  /// Announces draining, sheds new calls, and calls aDone once the running
  /// ones have ended and the linger time has passed.
  void Drain(std::function<void()> aDone);
  /// What `POST /drain` calls when the drain has ended.
  void OnDrained(std::function<void()> aDone)
  {
    m_onDrained = std::move(aDone);
  }

private:
  struct LoadSample
  {
    MonotonicTime m_time;
    std::uint32_t m_running = 0;
  };

  StandinUpstream(boost::asio::io_context& aContext,
                  const Clock& aClock,
                  StandinUpstreamSettings aSettings);

  Result<void> Listen();
  void OnCall(const FaultyHttpServer::Exchange& aExchange);
  void Run(const FaultyHttpServer::Exchange& aExchange,
           const ExecutionPlan& aPlan);
  void Finish(const FaultyHttpServer::Exchange& aExchange,
              std::size_t aIndex,
              ExecutionEnd aEnd);
  HttpAnswerParts MakeAnswer(const HttpRequestParts& aRequest) const;
  void ChangeRunning(int aStep);
  void OnAdminRequest(const FaultyHttpServer::Exchange& aExchange);
  bool SetFromAdmin(const HttpRequestParts& aRequest);
  std::string CountsText() const;
  std::string ReportText() const;
  std::uint32_t ReportedRunning() const;
  std::string ReportedState() const;
  void Announce();
  void ScheduleAnnouncement();
  void EndDrainWhenIdle();

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  const StandinUpstreamSettings m_settings;
  UpstreamBehaviour m_behaviour;
  ExecutionLog m_log;
  ReportFaults m_report;
  std::deque<LoadSample> m_samples;
  std::uint32_t m_running = 0;
  std::uint64_t m_shed = 0;
  std::uint64_t m_announcements = 0;
  bool m_isDraining = false;
  MonotonicTime m_drainStart{};
  std::function<void()> m_onDrained;
  std::unique_ptr<HttpClient> m_node;
  /// Timers; their handlers hold it weakly.
  struct Timers;
  std::shared_ptr<Timers> m_timers;
  std::unique_ptr<FaultyHttpServer> m_server;
  std::unique_ptr<FaultyHttpServer> m_admin;
};

} // namespace tarragontray
