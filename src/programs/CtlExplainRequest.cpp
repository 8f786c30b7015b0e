#include <algorithm>
#include <set>

#include <boost/json.hpp>

#include "programs/CtlCommand.h"
#include "programs/LogLines.h"

namespace tarragontray {

namespace json = boost::json;

namespace {

/// The log lines of several nodes that belong to one request.
struct RequestTrace
{
  std::vector<LogLine> m_lines;
  /// Nodes whose logs were read.
  std::set<std::string> m_nodes;
  /// Nodes that the lines name as targets of calls.
  std::set<std::string> m_targets;
};

/// True if the id is that of the request or of a call made while serving it.
/// The ids of such calls have the form "ID.SUFFIX".
bool
BelongsToRequest(const std::string& aId, const std::string& aRequest)
{
  return aId == aRequest || aId.starts_with(aRequest + ".");
}

void
AddLine(const LogLine& aLine, const std::string& aRequest, RequestTrace& aTrace)
{
  aTrace.m_nodes.insert(aLine.m_node);
  const auto id = FieldOf(aLine.m_text, "id");
  if (!id || !BelongsToRequest(*id, aRequest)) {
    return;
  }
  aTrace.m_lines.push_back(aLine);
  const auto target = FieldOf(aLine.m_text, "target");
  if (target && !target->empty()) {
    aTrace.m_targets.insert(*target);
  }
}

Result<RequestTrace>
ReadTrace(const std::string& aRequest, const std::vector<std::string>& aPaths)
{
  RequestTrace trace;
  BOOST_OUTCOME_TRY(const auto lines, ReadLogs(aPaths));
  for (const LogLine& line : lines) {
    AddLine(line, aRequest, trace);
  }
  return trace;
}

/// Targets whose logs were not given. Lines of the request may be missing
/// there.
std::vector<std::string>
NodesWithoutLog(const RequestTrace& aTrace)
{
  std::vector<std::string> gaps;
  std::set_difference(aTrace.m_targets.begin(),
                      aTrace.m_targets.end(),
                      aTrace.m_nodes.begin(),
                      aTrace.m_nodes.end(),
                      std::back_inserter(gaps));
  return gaps;
}

CtlOutput
FormatTrace(const std::string& aRequest, const RequestTrace& aTrace)
{
  CtlOutput output;
  json::array lines;
  for (const LogLine& line : aTrace.m_lines) {
    output.m_text += line.m_time + " " + line.m_node + " " + line.m_text + "\n";
    lines.push_back(json::object{ { "time", line.m_time },
                                  { "node", line.m_node },
                                  { "line", line.m_text } });
  }
  json::array gaps;
  for (const std::string& gap : NodesWithoutLog(aTrace)) {
    output.m_text += "gap: no log of " + gap + " was given\n";
    gaps.push_back(json::string(gap));
  }
  if (aTrace.m_lines.empty()) {
    output.m_text += "no line names " + aRequest +
                     ": it was plainly served (a debug line), never arrived, "
                     "or its line was dropped (see \"Lines dropped.\")\n";
    output.m_exitStatus = kExitFailed;
  }
  output.m_json = json::serialize(json::object{ { "request", aRequest },
                                                { "lines", std::move(lines) },
                                                { "gaps", std::move(gaps) } });
  return output;
}

class ExplainRequest final : public CtlCommand
{
public:
  std::string_view Name() const override { return "explain-request"; }
  std::string_view Arguments() const override { return "ID FILE..."; }
  std::string_view Summary() const override
  {
    return "Puts what the logs of several nodes say of one request in order, "
           "with the calls made for it, and names the logs that are missing.";
  }

  Result<CtlOutput> Run(const CtlContext& aContext) const override
  {
    const std::string& request = aContext.m_arguments.front();
    BOOST_OUTCOME_TRY(const RequestTrace trace,
                      ReadTrace(request,
                                { aContext.m_arguments.begin() + 1,
                                  aContext.m_arguments.end() }));
    return FormatTrace(request, trace);
  }
};

} // namespace

void
AddExplainRequestCommand(CtlCommands& aCommands)
{
  aCommands.push_back(std::make_unique<ExplainRequest>());
}

} // namespace tarragontray
