/// \file
/// Simulated upstream with a limited number of slots, a cold start, fault
/// injection, graceful drain and an execution log.
///
/// It serves every path. `?bytes=N` in a target requests N bytes of filler in
/// the answer (programs/AnswerBody.h). Calls that find all slots in use, whose
/// deadline has passed, or that arrive during a drain are shed with 503 and
/// `x-not-run: 1`.
///
///     auto upstream = StandinUpstream::Create(context, clock, settings);
///     upstream.value()->Drain([&context]() { context.stop(); });
///
/// Admin port:
///
/// | request | answer |
/// | --- | --- |
/// | `GET /executions` | the execution log (programs/ExecutionLog.h) |
/// | `GET /executions/count` | `executions`, `repeated`, `running`, `shed` |
/// | `POST /faults` | replaces the fault rules (programs/UpstreamFaults.h) |
/// | `POST /report` | sets ReportFaults: `lag_ms`, `running`, `state` |
/// | `POST /drain` | drains as on SIGTERM |
/// | `GET /load` | the report as announced to the node |
///
/// Thread safety: not thread-safe; use it only on the thread that runs the
/// io_context.
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

/// Identity, addresses and behaviour of a simulated upstream.
struct StandinUpstreamSettings
{
  VmId m_vm;
  ClientAccountId m_account;
  ServiceName m_service;
  UpstreamVersion m_version;
  NetworkAddress m_address;
  NetworkAddress m_adminAddress;
  /// Admin address of the VM's node; not set: no announcements.
  NetworkAddress m_nodeAddress;
  UpstreamBehaviourSettings m_behaviour;
  std::vector<FaultRule> m_rules;
  /// Bytes of filler in answers to targets without `bytes`.
  std::size_t m_answerBytes = 256;
  /// Least time between the start and the end of a drain; calls are shed
  /// meanwhile.
  Duration m_lingerTime{ std::chrono::seconds(1) };
};

/// Deviations of the announced report from the actual state.
struct ReportFaults
{
  /// The report gives the load as of this long ago.
  Duration m_lag{ 0 };
  /// Replaces the number of running calls.
  std::optional<std::uint32_t> m_running;
  /// Replaces the state; empty: the actual state.
  std::string m_state;
};

/// See the file comment.
class StandinUpstream
{
public:
  /// Listens on both addresses and sends an announcement each second.
  /// Errors: Unreachable when an address can't be bound.
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
  /// Announces the drain, sheds new calls, and calls aDone once all running
  /// calls have ended and the linger time has passed. A second call has no
  /// effect.
  void Drain(std::function<void()> aDone);
  /// Sets the function called at the end of a drain by `POST /drain`.
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
  void ChangeRunning(int aChange);
  void OnAdminRequest(const FaultyHttpServer::Exchange& aExchange);
  bool ApplyAdminPost(const HttpRequestParts& aRequest);
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
  /// Handlers hold the timers weakly, to detect that this is destroyed.
  struct Timers;
  std::shared_ptr<Timers> m_timers;
  std::unique_ptr<FaultyHttpServer> m_server;
  std::unique_ptr<FaultyHttpServer> m_admin;
};

} // namespace tarragontray
