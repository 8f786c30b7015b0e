#include <algorithm>
#include <charconv>
#include <map>
#include <optional>

#include <boost/json.hpp>

#include "programs/CtlCommand.h"
#include "programs/LogLines.h"

namespace tarragontray {

namespace json = boost::json;

namespace {

/// Whether a configuration version came into force in a process.
enum class Arrival
{
  /// The version came into force.
  InForce,
  /// A later version came into force without this one.
  Skipped,
  /// Neither this version nor a later one came into force.
  Missing,
};

std::string_view
Name(Arrival aArrival)
{
  switch (aArrival) {
    case Arrival::InForce:
      return "in force";
    case Arrival::Skipped:
      return "passed by";
    case Arrival::Missing:
      return "missing";
  }
  return "unknown";
}

/// How a version arrived in one process of a node. Each start of a node is a
/// separate process.
struct ProcessArrival
{
  std::string m_node;
  Arrival m_arrival = Arrival::Missing;
  /// Time of m_line, or of the start of the process if m_line is empty.
  std::string m_time;
  /// The log line that shows the arrival. For a missing version, the last line
  /// about a version in force.
  std::string m_line;
};

std::optional<std::uint64_t>
RevisionIn(const LogLine& aLine)
{
  const std::string text =
    FieldOf(aLine.m_text, "revision").value_or(std::string());
  std::uint64_t revision = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), revision);
  return error == std::errc() && end == text.data() + text.size()
           ? std::optional(revision)
           : std::nullopt;
}

/// The processes in the order of arrival, followed by those where the version
/// is missing.
std::vector<ProcessArrival>
FindArrivals(std::uint64_t aVersion,
             const std::string& aAccount,
             const std::vector<LogLine>& aLines)
{
  std::vector<ProcessArrival> arrivals;
  std::map<std::string, std::size_t> current;
  for (const LogLine& line : aLines) {
    if (line.m_text.find("node: Node started.") != std::string::npos) {
      current[line.m_node] = arrivals.size();
      arrivals.push_back({ line.m_node, Arrival::Missing, line.m_time, {} });
      continue;
    }
    const bool isChange =
      line.m_text.find("Configuration in force.") != std::string::npos &&
      FieldOf(line.m_text, "account") == aAccount;
    const auto revision = isChange ? RevisionIn(line) : std::nullopt;
    if (!revision) {
      continue;
    }
    const auto [place, isNew] =
      current.try_emplace(line.m_node, arrivals.size());
    if (isNew) {
      arrivals.push_back({ line.m_node, Arrival::Missing, {}, {} });
    }
    ProcessArrival& process = arrivals[place->second];
    if (process.m_arrival != Arrival::Missing) {
      continue;
    }
    process.m_time = line.m_time;
    process.m_line = line.m_text;
    if (*revision >= aVersion) {
      process.m_arrival =
        *revision == aVersion ? Arrival::InForce : Arrival::Skipped;
    }
  }
  std::stable_sort(
    arrivals.begin(),
    arrivals.end(),
    [](const ProcessArrival& aLeft, const ProcessArrival& aRight) {
      const bool isLeftLast = aLeft.m_arrival == Arrival::Missing;
      const bool isRightLast = aRight.m_arrival == Arrival::Missing;
      return isLeftLast == isRightLast ? aLeft.m_time < aRight.m_time
                                       : isRightLast;
    });
  return arrivals;
}

CtlOutput
FormatArrivals(std::uint64_t aVersion,
               const std::vector<ProcessArrival>& aArrivals)
{
  CtlOutput output;
  json::array nodes;
  bool isInForce = false;
  for (const ProcessArrival& process : aArrivals) {
    isInForce |= process.m_arrival == Arrival::InForce;
    output.m_text += process.m_time + " " + process.m_node + " " +
                     std::string(Name(process.m_arrival)) + ": " +
                     process.m_line + "\n";
    nodes.push_back(json::object{ { "time", process.m_time },
                                  { "node", process.m_node },
                                  { "arrival", Name(process.m_arrival) },
                                  { "line", process.m_line } });
  }
  if (!isInForce) {
    output.m_text += "no process had " + std::to_string(aVersion) +
                     " in force, or its line was dropped\n";
    output.m_exitStatus = kExitFailed;
  }
  output.m_json = json::serialize(
    json::object{ { "version", aVersion }, { "nodes", std::move(nodes) } });
  return output;
}

class ExplainVersion final : public CtlCommand
{
public:
  std::string_view Name() const override { return "explain-version"; }
  std::string_view Arguments() const override
  {
    return "ACCOUNT VERSION FILE...";
  }
  std::string_view Summary() const override
  {
    return "Says from the logs of several nodes which of them took a "
           "configuration version, when and from whom, which it passed by and "
           "which it never reached.";
  }

  Result<CtlOutput> Run(const CtlContext& aContext) const override
  {
    const auto& arguments = aContext.m_arguments;
    const std::string& text = arguments[1];
    std::uint64_t version = 0;
    const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), version);
    if (error != std::errc() || end != text.data() + text.size()) {
      return Error(ErrorCode::InvalidArgument,
                   "version.explain",
                   "",
                   "VERSION is '" + text + "', allowed: a whole number");
    }
    BOOST_OUTCOME_TRY(const auto lines,
                      ReadLogs({ arguments.begin() + 2, arguments.end() }));
    return FormatArrivals(version,
                          FindArrivals(version, arguments.front(), lines));
  }
};

} // namespace

void
AddExplainVersionCommand(CtlCommands& aCommands)
{
  aCommands.push_back(std::make_unique<ExplainVersion>());
}

} // namespace tarragontray
