#include "programs/ProgramOptions.h"

#include <cctype>
#include <charconv>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <utility>

#include <cxxopts.hpp>

namespace tarragontray {

namespace {

constexpr double kMaxFraction = 1000;

std::string
EnvironmentName(const std::string& aName)
{
  std::string name = "TARRAGONTRAY_";
  for (const char character : aName) {
    name += character == '-' ? '_'
                             : static_cast<char>(std::toupper(
                                 static_cast<unsigned char>(character)));
  }
  return name;
}

template<typename T>
std::optional<T>
ParseWhole(const std::string& aText)
{
  T number{};
  const char* end = aText.data() + aText.size();
  const auto [next, error] = std::from_chars(aText.data(), end, number);
  const bool isWhole = error == std::errc() && next == end;
  return isWhole ? std::optional(number) : std::nullopt;
}

} // namespace

/// cxxopts throws; nothing of that leaves this class.
class ProgramOptions::Parser
{
public:
  Parser(const ProgramOptions& aOwner, const std::string& aProgram)
    : m_options(aProgram, aOwner.m_purpose)
  {
    m_options.add_options()("help", "print this text")(
      "version", "print the version")("check-settings",
                                      "print the settings and exit");
    for (const std::string& name : aOwner.m_order) {
      const Setting& setting = aOwner.m_settings.at(name);
      const std::string help =
        setting.m_help + " [" + EnvironmentName(name) + "]";
      if (setting.m_kind == Kind::Switch) {
        m_options.add_options()(name, help);
      } else {
        m_options.add_options()(name,
                                help + " (default: " + setting.m_default + ")",
                                cxxopts::value<std::string>());
      }
    }
  }

  Result<void> Parse(int aCount, char** aArguments)
  {
    try {
      m_parsed = m_options.parse(aCount, aArguments);
    } catch (const std::exception& error) {
      return Error(
        ErrorCode::InvalidArgument, "settings.parse", "", error.what());
    }
    if (!m_parsed.unmatched().empty()) {
      return Error(ErrorCode::InvalidArgument,
                   "settings.parse",
                   "",
                   "'" + m_parsed.unmatched().front() + "' is not a flag");
    }
    return Success();
  }

  bool Has(const std::string& aName) const { return m_parsed.count(aName) > 0; }
  std::string Value(const std::string& aName) const
  {
    return m_parsed[aName].as<std::string>();
  }
  std::string Help() const { return m_options.help(); }

private:
  cxxopts::Options m_options;
  cxxopts::ParseResult m_parsed;
};

ProgramOptions::ProgramOptions(std::string aProgram, std::string aPurpose)
  : m_program(std::move(aProgram))
  , m_purpose(std::move(aPurpose))
{
}

ProgramOptions::~ProgramOptions() = default;

void
ProgramOptions::Add(const std::string& aName, Setting aSetting)
{
  aSetting.m_value = aSetting.m_default;
  m_order.push_back(aName);
  m_settings[aName] = std::move(aSetting);
}

void
ProgramOptions::AddText(const std::string& aName,
                        const std::string& aHelp,
                        const std::string& aDefault)
{
  Add(aName, { Kind::Text, aHelp, aDefault, {}, "" });
}

void
ProgramOptions::AddNumber(const std::string& aName,
                          const std::string& aHelp,
                          const NumberRange& aRange)
{
  const std::string bounds =
    (aRange.m_unit.empty() ? "" : ", " + aRange.m_unit) + ", " +
    std::to_string(aRange.m_least) + ".." + std::to_string(aRange.m_most);
  Add(aName,
      { Kind::Number,
        aHelp + bounds,
        std::to_string(aRange.m_default),
        aRange,
        "" });
}

void
ProgramOptions::AddFraction(const std::string& aName,
                            const std::string& aHelp,
                            double aDefault)
{
  std::string text = std::to_string(aDefault);
  text.erase(text.find_last_not_of('0') + 1);
  Add(aName, { Kind::Fraction, aHelp + ", 0..1000", text, {}, "" });
}

void
ProgramOptions::AddAddress(const std::string& aName,
                           const std::string& aHelp,
                           const std::string& aDefault)
{
  Add(aName, { Kind::Address, aHelp + ", a.b.c.d:port", aDefault, {}, "" });
}

void
ProgramOptions::AddSwitch(const std::string& aName, const std::string& aHelp)
{
  Add(aName, { Kind::Switch, aHelp, "off", {}, "" });
}

std::optional<int>
ProgramOptions::Parse(int aCount, char** aArguments)
{
  Parser parser(*this, m_program);
  Result<void> parsed = parser.Parse(aCount, aArguments);
  if (parsed && parser.Has("help")) {
    std::cout << parser.Help();
    return EXIT_SUCCESS;
  }
  if (parsed && parser.Has("version")) {
    std::cout << m_program << " " << TARRAGONTRAY_VERSION << "\n";
    return EXIT_SUCCESS;
  }
  if (parsed) {
    parsed = ReadValues(parser);
  }
  if (!parsed) {
    std::cerr << m_program << ": " << parsed.error().Detail() << "\n";
    return kBadSettingStatus;
  }
  if (parser.Has("check-settings")) {
    Print();
    return EXIT_SUCCESS;
  }
  return std::nullopt;
}

Result<void>
ProgramOptions::ReadValues(const Parser& aParser)
{
  for (auto& [name, setting] : m_settings) {
    const char* environment = std::getenv(EnvironmentName(name).c_str());
    if (environment != nullptr) {
      setting.m_value = environment;
    }
    if (aParser.Has(name)) {
      setting.m_value =
        setting.m_kind == Kind::Switch ? "on" : aParser.Value(name);
    }
    BOOST_OUTCOME_TRY(Check(name, setting));
  }
  return Success();
}

Result<void>
ProgramOptions::Check(const std::string& aName, const Setting& aSetting)
{
  bool isValid = true;
  const std::string& value = aSetting.m_value;
  std::string allowed;
  switch (aSetting.m_kind) {
    case Kind::Text:
      break;
    case Kind::Number: {
      const auto number = ParseWhole<std::int64_t>(value);
      isValid = number && *number >= aSetting.m_range.m_least &&
                *number <= aSetting.m_range.m_most;
      allowed = "a whole number, " + std::to_string(aSetting.m_range.m_least) +
                ".." + std::to_string(aSetting.m_range.m_most);
      break;
    }
    case Kind::Fraction: {
      const auto number = ParseWhole<double>(value);
      isValid = number && *number >= 0 && *number <= kMaxFraction;
      allowed = "a number, 0..1000";
      break;
    }
    case Kind::Address:
      isValid = value.empty() || NetworkAddress::Parse(value);
      allowed = "a.b.c.d:port";
      break;
    case Kind::Switch:
      isValid = value == "on" || value == "off";
      allowed = "on or off";
      break;
  }
  if (!isValid) {
    return Error(ErrorCode::InvalidArgument,
                 "settings.check",
                 "",
                 "--" + aName + " is '" + value + "'; allowed: " + allowed);
  }
  return Success();
}

void
ProgramOptions::Print() const
{
  for (const std::string& name : m_order) {
    std::cout << name << "=" << m_settings.at(name).m_value << "\n";
  }
}

std::string
ProgramOptions::Text(const std::string& aName) const
{
  return m_settings.at(aName).m_value;
}

std::int64_t
ProgramOptions::Number(const std::string& aName) const
{
  return ParseWhole<std::int64_t>(Text(aName)).value_or(0);
}

Duration
ProgramOptions::Milliseconds(const std::string& aName) const
{
  return std::chrono::milliseconds(Number(aName));
}

double
ProgramOptions::Fraction(const std::string& aName) const
{
  return ParseWhole<double>(Text(aName)).value_or(0);
}

NetworkAddress
ProgramOptions::Address(const std::string& aName) const
{
  const auto address = NetworkAddress::Parse(Text(aName));
  return address ? address.value() : NetworkAddress();
}

bool
ProgramOptions::IsOn(const std::string& aName) const
{
  return Text(aName) == "on";
}

} // namespace tarragontray
