#include "programs/CtlCommand.h"

#include <algorithm>
#include <sstream>

namespace tarragontray {

namespace {

constexpr std::int64_t kMaxNumber = 1'000'000'000'000;
constexpr std::int64_t kMaxWaitMs = 86'400'000;

std::vector<std::string>
SplitWords(std::string_view aText)
{
  std::istringstream stream{ std::string(aText) };
  std::vector<std::string> words;
  for (std::string word; stream >> word;) {
    words.push_back(word);
  }
  return words;
}

bool
BeginsWith(const std::vector<std::string>& aWords,
           const std::vector<std::string>& aStart)
{
  return aWords.size() >= aStart.size() &&
         std::equal(aStart.begin(), aStart.end(), aWords.begin());
}

/// Whether the command takes this number of arguments; see
/// CtlCommand::Arguments for the notation.
bool
AcceptsArgumentCount(const CtlCommand& aCommand, std::size_t aCount)
{
  const std::vector<std::string> names = SplitWords(aCommand.Arguments());
  const auto required = static_cast<std::size_t>(
    std::count_if(names.begin(), names.end(), [](const std::string& aName) {
      return aName.front() != '[';
    }));
  const bool isLastRepeatable = !names.empty() && names.back().ends_with("...");
  return aCount >= required && (isLastRepeatable || aCount <= names.size());
}

Error
UsageError(const std::string& aDetail)
{
  return Error(ErrorCode::InvalidArgument, "ctl.command", "", aDetail);
}

/// The part of the help text that lists commands and exit statuses.
std::string
CommandList(const CtlCommands& aCommands)
{
  std::string text = "Commands:\n";
  for (const auto& command : aCommands) {
    text += "  " + std::string(command->Name());
    text += command->Arguments().empty() ? "" : " ";
    text += std::string(command->Arguments()) + "\n      " +
            std::string(command->Summary()) + "\n";
  }
  return text + "\nExit status: 0 done, 1 failed, 2 refused input, 3 lost "
                "race, 4 platform or node not reached.";
}

} // namespace

CtlCommands
AllCommands()
{
  CtlCommands commands;
  AddTemplateCommands(commands);
  AddConfigurationCommands(commands);
  AddMoveCommands(commands);
  AddNodeCommands(commands);
  AddExplainCommand(commands);
  AddExplainRequestCommand(commands);
  AddExplainVersionCommand(commands);
  return commands;
}

SettingsParser
CtlSettingsParser(const CtlCommands& aCommands)
{
  SettingsParser parser("tarragontrayctl",
                        "The operators' command line of tarragontray.\n\n" +
                          CommandList(aCommands),
                        "COMMAND [ARGUMENT...]");
  parser.Add(AddressSetting{ "platform", "The platform.", false, false });
  parser.Add(AddressSetting{
    "node", "Admin address of a node; may be repeated.", true, false });
  parser.Add(TextSetting{ "output", "The form.", { "text", "json" }, "text" });
  parser.Add(SwitchSetting{
    "wait", "Waits until the version is in force on every live node given." });
  parser.Add(IntegerSetting{
    "wait-ms", "ms", "The longest wait.", 0, kMaxWaitMs, 60'000 });
  parser.Add(IntegerSetting{ "expected",
                             "",
                             "config apply: the version that the change is "
                             "made from; -1: the current one.",
                             -1,
                             kMaxNumber,
                             -1 });
  parser.Add(IntegerSetting{ "revision",
                             "",
                             "config get: a former version; -1: the current "
                             "one.",
                             -1,
                             kMaxNumber,
                             -1 });
  parser.Add(TextSetting{
    "start",
    "move start: a UTC time, or a time from now such as +30s, +10m, +2h.",
    {},
    "+0s" });
  parser.Add(TextSetting{ "deadline",
                          "move start: as --start; the whole traffic has "
                          "moved and the hold is over by then.",
                          {},
                          "" });
  parser.Add(IntegerSetting{ "hold-ms",
                             "ms",
                             "move start: the watch after the last step.",
                             0,
                             kMaxWaitMs,
                             5'000 });
  parser.Add(IntegerSetting{
    "timeout-ms", "ms", "For one call.", 1, kMaxWaitMs, 2'000 });
  return parser;
}

Result<CtlOutput>
RunCommand(const CtlCommands& aCommands,
           CtlSession& aSession,
           const Settings& aSettings)
{
  const std::vector<std::string>& words = aSettings.PositionalArguments();
  for (const auto& command : aCommands) {
    const std::vector<std::string> name = SplitWords(command->Name());
    if (!BeginsWith(words, name)) {
      continue;
    }
    const std::vector<std::string> arguments(
      words.begin() + static_cast<std::ptrdiff_t>(name.size()), words.end());
    if (!AcceptsArgumentCount(*command, arguments.size())) {
      return UsageError("usage: " + std::string(command->Name()) + " " +
                        std::string(command->Arguments()));
    }
    return command->Run({ aSession, aSettings, arguments });
  }
  return UsageError("unknown command; --help lists the commands");
}

int
ExitStatusOf(const Error& aError)
{
  switch (aError.Code()) {
    case ErrorCode::InvalidArgument:
    case ErrorCode::Malformed:
    case ErrorCode::TooLarge:
      return kExitRefused;
    case ErrorCode::Conflict:
      return kExitLostRace;
    case ErrorCode::Unreachable:
    case ErrorCode::Timeout:
    case ErrorCode::Closed:
    case ErrorCode::Unavailable:
      return kExitUnreachable;
    default:
      return kExitFailed;
  }
}

} // namespace tarragontray
