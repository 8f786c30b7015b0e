/// \file
/// Settings of a program: flags and environment variables, checked before
/// anything starts.
///
/// A flag --peer-address can also be set as TARRAGONTRAY_PEER_ADDRESS; the
/// flag goes first. Each setting has a type, a unit, a range and a default.
///
///     SettingsParser parser("tarragontray-node", "The node of one VM.");
///     parser.Add(IntegerSetting{ "traffic-threads", "", "Threads.", 1, 64, 1
///     }); ParsedCommand parsed = parser.Parse(argc, argv); if
///     (parsed.m_exitStatus) {
///       return *parsed.m_exitStatus;
///     }
///     parsed.m_settings.Integer("traffic-threads");
///
/// A bad setting prints one line that names the flag, the value and what is
/// allowed; the exit status is kExitRefused.
///
/// Thread safety: parse on one thread; a parsed Settings is immutable.
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

/// Exit status for a bad setting or refused input.
inline constexpr int kExitRefused = 2;

/// A whole number with its unit and range. The unit may be written behind the
/// number; times in ms also as "6s".
struct IntegerSetting
{
  std::string m_name;
  std::string m_unit;
  std::string m_help;
  std::int64_t m_min = 0;
  std::int64_t m_max = 0;
  /// Not set: the setting is required.
  std::optional<std::int64_t> m_default;
};

/// Text; m_allowed, when not empty, lists every allowed value.
struct TextSetting
{
  std::string m_name;
  std::string m_help;
  std::vector<std::string> m_allowed;
  /// Not set: the setting is required.
  std::optional<std::string> m_default;
};

/// An "a.b.c.d:port"; a list where m_isList.
struct AddressSetting
{
  std::string m_name;
  std::string m_help;
  bool m_isList = false;
  bool m_isRequired = true;
};

/// A switch, off unless given.
struct SwitchSetting
{
  std::string m_name;
  std::string m_help;
};

using Setting =
  std::variant<IntegerSetting, TextSetting, AddressSetting, SwitchSetting>;

/// The checked values. Each getter needs the name of a declared setting of
/// its type. Thread safety: immutable once parsed.
class Settings
{
public:
  std::int64_t Integer(const std::string& aName) const;
  Duration Milliseconds(const std::string& aName) const;
  const std::string& Text(const std::string& aName) const;
  /// The first address, or the zero address when none was given.
  NetworkAddress Address(const std::string& aName) const;
  const std::vector<NetworkAddress>& Addresses(const std::string& aName) const;
  bool IsOn(const std::string& aName) const;
  /// PositionalArguments that are not flags.
  const std::vector<std::string>& PositionalArguments() const
  {
    return m_words;
  }

private:
  friend class SettingsParser;
  using Value =
    std::variant<std::int64_t, std::string, std::vector<NetworkAddress>, bool>;
  std::map<std::string, Value> m_values;
  std::vector<std::string> m_words;
};

/// What the command line asks for.
struct ParsedCommand
{
  Settings m_settings;
  /// Set when the program should end now: after --help, --version or
  /// --check-settings, or with a bad setting; the text has been printed.
  std::optional<int> m_exitStatus;
};

/// See the file comment.
class SettingsParser
{
public:
  /// \param aWords shown in the usage line behind the flags; empty when the
  /// program takes none.
  SettingsParser(std::string aProgram,
                 std::string aSummary,
                 std::string aWords = "");

  /// Precondition: no setting of the same name was added.
  void Add(Setting aSetting) { m_settings.push_back(std::move(aSetting)); }

  /// Reads and checks all settings; prints help, version or an error itself.
  ParsedCommand Parse(int aCount, const char* const* aArguments) const;

  /// As Parse, without printing. Errors: InvalidArgument, detail names flag,
  /// value and what is allowed.
  Result<Settings> Check(int aCount, const char* const* aArguments) const;

  /// The text of --help.
  std::string Help() const;

private:
  std::string m_program;
  std::string m_summary;
  std::string m_positionalHelp;
  std::vector<Setting> m_settings;
};

/// The environment variable of a setting: TARRAGONTRAY_ and its name in
/// upper case with underscores.
std::string
EnvironmentName(const std::string& aName);

} // namespace tarragontray
