#include "programs/ExecutionLog.h"

#include <utility>

#include <boost/json.hpp>

namespace tarragontray {

namespace {

namespace json = boost::json;

/// Returns an empty string if the field is absent or not a string.
std::string
Text(const json::object& aObject, std::string_view aName)
{
  const json::value* field = aObject.if_contains(aName);
  return field != nullptr && field->is_string()
           ? std::string(field->get_string())
           : std::string();
}

/// Returns 0 if the field is absent or does not fit into the type.
std::uint64_t
Number(const json::object& aObject, std::string_view aName)
{
  const json::value* field = aObject.if_contains(aName);
  json::error_code error;
  const std::uint64_t number = field != nullptr && field->is_number()
                                 ? field->to_number<std::uint64_t>(error)
                                 : 0;
  return error ? 0 : number;
}

std::optional<ExecutionEnd>
EndFromName(const std::string& aName)
{
  for (int i = 0; i <= static_cast<int>(ExecutionEnd::Cancelled); ++i) {
    const auto end = static_cast<ExecutionEnd>(i);
    if (Name(end) == aName) {
      return end;
    }
  }
  return std::nullopt;
}

std::optional<Execution>
DecodeExecution(const json::value& aValue)
{
  if (!aValue.is_object()) {
    return std::nullopt;
  }
  const json::object& object = aValue.get_object();
  const auto end = EndFromName(Text(object, "end"));
  Execution execution{ OperationId(Text(object, "operation")),
                       ClientAccountId(Text(object, "account")),
                       Text(object, "target"),
                       static_cast<std::uint32_t>(Number(object, "attempt")),
                       end.value_or(ExecutionEnd::Running) };
  return end ? std::optional(std::move(execution)) : std::nullopt;
}

} // namespace

std::size_t
ExecutionLog::Begin(Execution aExecution)
{
  if (m_executions.size() >= kMaxExecutions) {
    ++m_dropped;
    return kMaxExecutions;
  }
  if (++m_counts[aExecution.m_operation] == 2) {
    ++m_repeated;
  }
  m_executions.push_back(std::move(aExecution));
  return m_executions.size() - 1;
}

void
ExecutionLog::End(std::size_t aIndex, ExecutionEnd aEnd)
{
  if (aIndex < m_executions.size()) {
    m_executions[aIndex].m_end = aEnd;
  }
}

std::string
EncodeExecutions(const VmId& aVm,
                 const UpstreamVersion& aVersion,
                 const ExecutionLog& aLog)
{
  json::array executions;
  executions.reserve(aLog.Executions().size());
  for (const Execution& execution : aLog.Executions()) {
    executions.emplace_back(
      json::object{ { "operation", execution.m_operation.Value() },
                    { "account", execution.m_account.Value() },
                    { "target", execution.m_target },
                    { "attempt", execution.m_attempt },
                    { "end", std::string(Name(execution.m_end)) } });
  }
  return json::serialize(
    json::object{ { "vm", aVm.Value() },
                  { "version", aVersion.Value() },
                  { "dropped", aLog.Dropped() },
                  { "executions", std::move(executions) } });
}

std::optional<ExecutionReport>
DecodeExecutions(std::string_view aText)
{
  json::error_code error;
  const json::value value = json::parse(aText, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  const json::object& object = value.get_object();
  const json::value* executions = object.if_contains("executions");
  if (executions == nullptr || !executions->is_array()) {
    return std::nullopt;
  }
  ExecutionReport report{ VmId(Text(object, "vm")),
                          UpstreamVersion(Text(object, "version")),
                          Number(object, "dropped"),
                          {} };
  for (const json::value& item : executions->get_array()) {
    auto execution = DecodeExecution(item);
    if (!execution) {
      return std::nullopt;
    }
    report.m_executions.push_back(std::move(*execution));
  }
  return report;
}

} // namespace tarragontray
