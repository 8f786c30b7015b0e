/// \file
/// The commands of tarragontrayctl and their output.
///
///     CtlCommands commands = AllCommands();
///     const CtlCommand* command = FindCommand(commands, words);
///     Result<CtlOutput> output = command->Run({ session, settings, rest });
///
/// Thread safety: one thread.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/Result.h"
#include "process/Settings.h"
#include "programs/CtlSession.h"

namespace tarragontray {

/// Exit statuses; kExitRefused (process/Settings.h) is 2.
inline constexpr int kExitDone = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitLostRace = 3;
inline constexpr int kExitUnreachable = 4;

/// The output of a command in both formats, and its exit status.
struct CtlOutput
{
  /// Printed with --output text.
  std::string m_text;
  /// Printed with --output json: one JSON value.
  std::string m_json;
  int m_exitStatus = kExitDone;
};

/// The input of a command.
struct CtlContext
{
  CtlSession& m_session;
  const Settings& m_settings;
  /// The positional arguments after the name of the command.
  std::vector<std::string> m_arguments;
};

/// Interface for one command.
class CtlCommand
{
public:
  virtual ~CtlCommand() = default;
  /// The words that select the command: "config apply".
  virtual std::string_view Name() const = 0;
  /// The argument names, separated by spaces: "FILE". A name in brackets is
  /// optional; a last name that ends with "..." may be repeated.
  virtual std::string_view Arguments() const = 0;
  /// One sentence for the help text.
  virtual std::string_view Summary() const = 0;
  /// Precondition: the number of arguments matches Arguments().
  virtual Result<CtlOutput> Run(const CtlContext& aContext) const = 0;
};

using CtlCommands = std::vector<std::unique_ptr<CtlCommand>>;

/// \name Registration of the commands, by subject
/// \{
void
AddTemplateCommands(CtlCommands& aCommands);
void
AddConfigurationCommands(CtlCommands& aCommands);
void
AddMoveCommands(CtlCommands& aCommands);
void
AddNodeCommands(CtlCommands& aCommands);
void
AddExplainCommand(CtlCommands& aCommands);
void
AddExplainRequestCommand(CtlCommands& aCommands);
void
AddExplainVersionCommand(CtlCommands& aCommands);
/// \}

CtlCommands
AllCommands();

/// Returns the parser for the flags; its help text lists the commands.
SettingsParser
CtlSettingsParser(const CtlCommands& aCommands);

/// Runs the command that the positional arguments select. Errors:
/// InvalidArgument for an unknown command or a wrong number of arguments;
/// those of the command.
Result<CtlOutput>
RunCommand(const CtlCommands& aCommands,
           CtlSession& aSession,
           const Settings& aSettings);

/// Maps an error code to an exit status.
int
ExitStatusOf(const Error& aError);

} // namespace tarragontray
