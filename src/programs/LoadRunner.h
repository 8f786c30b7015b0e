/// \file
/// Sends calls in an open loop and then audits the execution logs of the
/// upstreams.
///
/// Calls start at their intended times, whether or not earlier calls have
/// ended. After a lost or unknown answer a caller may retry its operation at
/// another node, with the same idempotency key.
///
///     LoadRunner runner(context, settings);
///     runner.Start([&context]() { context.stop(); });
///     context.run();
///     std::cout << runner.Report().Text();
///
/// Thread safety: only the thread that runs the io_context.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/NetworkAddress.h"
#include "connection/HttpClient.h"
#include "programs/ExecutionAudit.h"
#include "programs/LoadMix.h"
#include "programs/RunReport.h"

namespace tarragontray {

/// The settings of one run.
struct LoadSettings
{
  std::vector<CallKind> m_mix;
  /// Front addresses of nodes; with m_isDirect, addresses of upstreams.
  std::vector<NetworkAddress> m_nodes;
  bool m_isDirect = false;
  /// Admin addresses of the upstreams to read execution logs from.
  std::vector<NetworkAddress> m_logs;
  /// Files with the execution logs of upstreams that end before the audit.
  std::vector<std::string> m_savedLogs;
  double m_callsPerSecond = 100;
  Duration m_duration{ std::chrono::seconds(10) };
  std::uint64_t m_maxCalls = 10'000'000;
  std::uint64_t m_seed = 1;
  /// Prefix of every operation id.
  std::string m_run = "load";
  /// Maximum number of retries of an operation after lost or unknown answers.
  std::uint32_t m_maxRepeats = 0;
  /// Connections to one address; further concurrent calls are queued.
  std::size_t m_maxConnections = 256;
};

/// See the file comment.
class LoadRunner
{
public:
  /// Preconditions: aContext outlives the runner; the mix and the nodes are
  /// not empty.
  LoadRunner(boost::asio::io_context& aContext, LoadSettings aSettings);
  ~LoadRunner();
  LoadRunner(const LoadRunner&) = delete;
  LoadRunner& operator=(const LoadRunner&) = delete;

  /// Starts the run and returns. Calls aDone once, after the audit.
  void Start(std::function<void()> aDone);
  /// Stops sending new calls; the audit starts when the calls in flight have
  /// ended.
  void Stop();
  /// Complete once aDone has been called.
  RunReport& Report() { return m_report; }

private:
  /// One operation of a caller, with all its attempts.
  struct Operation;
  /// The connections to one address.
  class Connections;
  struct Timer;

  void ScheduleNext();
  /// Starts all calls whose intended time has passed.
  void SendDue();
  void Begin(const Arrival& aArrival);
  void Send(const std::shared_ptr<Operation>& aOperation);
  HttpRequestParts MakeRequest(const Operation& aOperation) const;
  void OnAnswer(const std::shared_ptr<Operation>& aOperation,
                const Result<HttpAnswerParts>& aAnswer);
  void EndWhenIdle();
  void ReadLogs();
  /// Counts a log as missing if it could not be read or has dropped executions.
  void AddLog(const std::optional<std::string>& aText);
  void Finish();

  boost::asio::io_context& m_context;
  const LoadSettings m_settings;
  ArrivalSequence m_arrivals;
  SeededRandom m_random;
  RunReport m_report;
  ExecutionAudit m_audit;
  RunStatistics m_run;
  std::vector<std::unique_ptr<Connections>> m_connections;
  std::vector<std::unique_ptr<HttpClient>> m_logClients;
  std::size_t m_pendingLogs = 0;
  std::unique_ptr<Timer> m_timer;
  MonotonicTime m_start{};
  std::optional<Arrival> m_next;
  std::uint64_t m_inFlight = 0;
  std::function<void()> m_done;
};

} // namespace tarragontray
