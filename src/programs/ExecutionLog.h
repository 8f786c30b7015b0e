/// \file
/// The log of every execution in standin-upstream, by operation.
///
/// As JSON: `{"vm": "...", "version": "...", "dropped": 0, "executions":
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

/// One execution of one call.
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
  /// Longer logs lose their newest entries and count them as dropped.
  static constexpr std::size_t kMaxExecutions = 2'000'000;

  std::size_t Begin(Execution aExecution);
  void End(std::size_t aIndex, ExecutionEnd aEnd);

  const std::vector<Execution>& Executions() const { return m_executions; }
  std::uint64_t Dropped() const { return m_dropped; }
  /// Operations that ran more than once here.
  std::uint64_t RepeatedOperations() const { return m_repeated; }

private:
  std::vector<Execution> m_executions;
  std::unordered_map<OperationId, std::uint32_t> m_counts;
  std::uint64_t m_repeated = 0;
  std::uint64_t m_dropped = 0;
};

/// A log as another program reads it.
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

/// Nothing when the text is not as documented.
std::optional<ExecutionReport>
DecodeExecutions(std::string_view aText);

} // namespace tarragontray
