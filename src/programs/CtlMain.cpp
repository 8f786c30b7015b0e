// tarragontrayctl: the command line for operators.
#include <cstdio>
#include <string>

#include "programs/CtlCommand.h"
#include "programs/CtlFormat.h"
#include "programs/CtlSession.h"

namespace tarragontray {

namespace {

/// Prints an error to standard error and, with --output json, as a JSON object
/// to standard output. Returns the exit status.
int
Report(const Error& aError, bool aIsJson)
{
  std::fprintf(stderr, "tarragontrayctl: %s\n", aError.Message().c_str());
  if (aIsJson) {
    std::printf("%s\n", JsonOf(aError).c_str());
  }
  return ExitStatusOf(aError);
}

int
Run(int aCount, char** aArguments)
{
  const CtlCommands commands = AllCommands();
  const ParsedCommand parsed =
    CtlSettingsParser(commands).Parse(aCount, aArguments);
  if (parsed.m_exitStatus) {
    return *parsed.m_exitStatus;
  }
  const Settings& settings = parsed.m_settings;
  const bool isJson = settings.Text("output") == "json";
  const auto session =
    CtlSession::Create({ .m_platform = settings.Address("platform"),
                         .m_nodes = settings.Addresses("node"),
                         .m_timeout = settings.Milliseconds("timeout-ms") });
  if (!session) {
    return Report(session.error(), isJson);
  }
  const Result<CtlOutput> output =
    RunCommand(commands, *session.value(), settings);
  if (!output) {
    return Report(output.error(), isJson);
  }
  const CtlOutput& shown = output.value();
  const std::string text = isJson ? shown.m_json + "\n" : shown.m_text;
  std::fwrite(text.data(), 1, text.size(), stdout);
  return shown.m_exitStatus;
}

} // namespace

} // namespace tarragontray

int
main(int aCount, char** aArguments)
{
  return tarragontray::Run(aCount, aArguments);
}
