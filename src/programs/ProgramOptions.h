/// \file
/// Settings of a small program, from flags and environment variables.
///
/// The flag `--admin` can be given as `TARRAGONTRAY_ADMIN` too; the flag wins.
/// A bad setting gives one line that names the flag, the value and what is
/// allowed.
///
///     ProgramOptions options("standin-platform", "Stand-in of the platform.");
///     options.AddAddress("listen", "object API", "127.0.0.1:7000");
///     if (std::optional<int> status = options.Parse(aCount, aArguments)) {
///       return *status;
///     }
///     Serve(options.Address("listen"));
///
/// Thread safety: one thread.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/NetworkAddress.h"
#include "base/Result.h"
#include "base/Units.h"

namespace tarragontray {

/// The exit status for a bad setting.
inline constexpr int kBadSettingStatus = 2;

/// What a whole number may be.
struct NumberRange
{
  std::string m_unit;
  std::int64_t m_least = 0;
  std::int64_t m_most = 0;
  std::int64_t m_default = 0;
};

/// See the file comment.
class ProgramOptions
{
public:
  ProgramOptions(std::string aProgram, std::string aPurpose);
  ~ProgramOptions();
  ProgramOptions(const ProgramOptions&) = delete;
  ProgramOptions& operator=(const ProgramOptions&) = delete;

  void AddText(const std::string& aName,
               const std::string& aHelp,
               const std::string& aDefault = "");
  void AddNumber(const std::string& aName,
                 const std::string& aHelp,
                 const NumberRange& aRange);
  /// A number with a fraction, 0 to 1000.
  void AddFraction(const std::string& aName,
                   const std::string& aHelp,
                   double aDefault);
  /// An "a.b.c.d:port"; an empty default means not set.
  void AddAddress(const std::string& aName,
                  const std::string& aHelp,
                  const std::string& aDefault = "");
  void AddSwitch(const std::string& aName, const std::string& aHelp);

  /// Reads and checks everything. Gives the exit status when the program must
  /// end now: after --help, --version, --check-settings or a bad setting.
  std::optional<int> Parse(int aCount, char** aArguments);

  /// Preconditions of all below: Parse was successful and the name was added
  /// with this type.
  std::string Text(const std::string& aName) const;
  std::int64_t Number(const std::string& aName) const;
  Duration Milliseconds(const std::string& aName) const;
  double Fraction(const std::string& aName) const;
  NetworkAddress Address(const std::string& aName) const;
  bool IsOn(const std::string& aName) const;

private:
  enum class Kind
  {
    Text,
    Number,
    Fraction,
    Address,
    Switch,
  };
  struct Setting
  {
    Kind m_kind = Kind::Text;
    std::string m_help;
    std::string m_default;
    NumberRange m_range;
    std::string m_value;
  };
  class Parser;

  void Add(const std::string& aName, Setting aSetting);
  Result<void> ReadValues(const Parser& aParser);
  static Result<void> Check(const std::string& aName, const Setting& aSetting);
  void Print() const;

  const std::string m_program;
  const std::string m_purpose;
  std::vector<std::string> m_order;
  std::map<std::string, Setting> m_settings;
};

} // namespace tarragontray
