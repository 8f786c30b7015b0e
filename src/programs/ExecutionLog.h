/// \file
/// The log of all executions in one standin-upstream, and its JSON format.
///
/// Format: `{"vm": "...", "version": "...", "dropped": 0, "executions":
/// [{"operation": "...", "account": "...", "target": "...", "attempt": 1,
/// "end": "done"}]}`.
///
///     ExecutionLog log;
///     std::size_t index = log.Begin({ operation, account, target, 1 });
///     log.End(index, ExecutionEnd::Done);
///
/// Thread safety: one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/Ids.h"
#include "programs/UpstreamBehaviour.h"

namespace tarragontray {

/// The execution of one attempt of an operation.
struct Execution
{
  OperationId m_operation;
  ClientAccountId m_account;
  std::string m_target;
  std::uint32_t m_attempt = 0;
  ExecutionEnd m_end = ExecutionEnd::Running;
};

/// See the file comment.
class ExecutionLog
{
public:
  /// Executions beyond this number are not logged and count as dropped.
  static constexpr std::size_t kMaxExecutions = 2'000'000;

  /// Returns the index to pass to End; kMaxExecutions if the execution was
  /// dropped.
  std::size_t Begin(Execution aExecution);
  /// Ignores the index of a dropped execution.
  void End(std::size_t aIndex, ExecutionEnd aEnd);

  const std::vector<Execution>& Executions() const { return m_executions; }
  std::uint64_t Dropped() const { return m_dropped; }
  /// Operations that were logged more than once.
  std::uint64_t RepeatedOperations() const { return m_repeated; }

private:
  std::vector<Execution> m_executions;
  std::unordered_map<OperationId, std::uint32_t> m_counts;
  std::uint64_t m_repeated = 0;
  std::uint64_t m_dropped = 0;
};

/// The decoded log of one upstream.
struct ExecutionReport
{
  VmId m_vm;
  UpstreamVersion m_version;
  std::uint64_t m_dropped = 0;
  std::vector<Execution> m_executions;
};

std::string
EncodeExecutions(const VmId& aVm,
                 const UpstreamVersion& aVersion,
                 const ExecutionLog& aLog);

/// Returns nullopt if the text is not in the documented format.
std::optional<ExecutionReport>
DecodeExecutions(std::string_view aText);

} // namespace tarragontray
