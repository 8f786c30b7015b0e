/// \file
/// Settings of a program, from flags and environment variables. All of them are
/// validated at start-up.
///
/// The flag --peer-address can also be set by the environment variable
/// TARRAGONTRAY_PEER_ADDRESS; the flag takes precedence. Each setting has a
/// type, a unit, a range and a default.
///
///     SettingsParser parser("tarragontray-node", "The node of one VM.");
///     parser.Add(IntegerSetting{ "threads", "", "Threads.", 1, 64, 1 });
///     ParsedCommand parsed = parser.Parse(argc, argv);
///     if (parsed.m_exitStatus) {
///       return *parsed.m_exitStatus;
///     }
///     parsed.m_settings.Integer("threads");
///
/// For an invalid setting, Parse prints one line with the flag, the value and
/// the allowed values, and the exit status is kExitRefused.
///
/// Thread safety: a SettingsParser is not thread-safe; a parsed Settings is
/// immutable.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/NetworkAddress.h"
#include "base/Result.h"
#include "base/Units.h"

namespace tarragontray {

/// Exit status for an invalid setting or invalid input.
inline constexpr int kExitRefused = 2;

/// An integer with its unit and range. The value may carry the unit as a
/// suffix; times in ms may also be given in seconds, as in "6s".
struct IntegerSetting
{
  std::string m_name;
  std::string m_unit;
  std::string m_help;
  std::int64_t m_min = 0;
  std::int64_t m_max = 0;
  /// The setting is required when this is not set.
  std::optional<std::int64_t> m_default;
};

/// A decimal number with its range.
struct NumberSetting
{
  std::string m_name;
  std::string m_help;
  double m_min = 0;
  double m_max = 0;
  /// The setting is required when this is not set.
  std::optional<double> m_default;
};

/// Text; a given value must not be empty. m_allowed, when not empty, lists all
/// allowed values.
struct TextSetting
{
  std::string m_name;
  std::string m_help;
  std::vector<std::string> m_allowed;
  /// The setting is required when this is not set.
  std::optional<std::string> m_default;
};

/// An address "a.b.c.d:port" or, with m_isList, a list of them separated by
/// commas. The flag of a list may be repeated.
struct AddressSetting
{
  std::string m_name;
  std::string m_help;
  bool m_isList = false;
  bool m_isRequired = true;
};

/// A boolean flag, false by default.
struct SwitchSetting
{
  std::string m_name;
  std::string m_help;
};

using Setting = std::variant<IntegerSetting,
                             NumberSetting,
                             TextSetting,
                             AddressSetting,
                             SwitchSetting>;

/// The validated values. Precondition of each getter: aName is a declared
/// setting of the getter's type. Thread safety: immutable once parsed.
class Settings
{
public:
  std::int64_t Integer(const std::string& aName) const;
  double Number(const std::string& aName) const;
  Duration Milliseconds(const std::string& aName) const;
  const std::string& Text(const std::string& aName) const;
  /// The first address, or the zero address when none was given.
  NetworkAddress Address(const std::string& aName) const;
  const std::vector<NetworkAddress>& Addresses(const std::string& aName) const;
  bool IsOn(const std::string& aName) const;
  /// The positional arguments.
  const std::vector<std::string>& PositionalArguments() const
  {
    return m_positional;
  }

private:
  friend class SettingsParser;
  using Value = std::variant<std::int64_t,
                             double,
                             std::string,
                             std::vector<NetworkAddress>,
                             bool>;
  std::map<std::string, Value> m_values;
  std::vector<std::string> m_positional;
};

/// The result of parsing a command line.
struct ParsedCommand
{
  Settings m_settings;
  /// Set when the program should exit: after --help, --version or
  /// --check-settings, or for an invalid setting. The output has been printed.
  std::optional<int> m_exitStatus;
};

/// See the file comment.
class SettingsParser
{
public:
  /// \param aPositional the positional arguments, as shown in the usage line;
  /// empty when the program takes none.
  SettingsParser(std::string aProgram,
                 std::string aSummary,
                 std::string aPositional = "");

  /// Declares a setting. Precondition: no setting of the same name was added.
  void Add(Setting aSetting) { m_settings.push_back(std::move(aSetting)); }

  /// Reads and validates all settings; prints the help, the version or the
  /// error.
  ParsedCommand Parse(int aCount, const char* const* aArguments) const;

  /// Reads and validates all settings without printing. Errors:
  /// InvalidArgument; the detail has the flag, the value and the allowed
  /// values.
  Result<Settings> Check(int aCount, const char* const* aArguments) const;

  /// Returns the text of --help.
  std::string Help() const;

private:
  std::string m_program;
  std::string m_summary;
  std::string m_positionalHelp;
  std::vector<Setting> m_settings;
};

/// Returns the environment variable of a setting: TARRAGONTRAY_ and its name in
/// upper case, with underscores instead of hyphens.
std::string
EnvironmentName(const std::string& aName);

} // namespace tarragontray
