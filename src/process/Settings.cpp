#include "process/Settings.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <utility>

#include <cxxopts.hpp>

namespace tarragontray {

namespace {

constexpr char kPrefix[] = "TARRAGONTRAY_";

const std::string&
NameOf(const Setting& aSetting)
{
  return std::visit(
    [](const auto& aAlternative) -> const std::string& {
      return aAlternative.m_name;
    },
    aSetting);
}

std::string
Join(const std::vector<std::string>& aWords, const char* aSeparator)
{
  std::string text;
  for (const std::string& word : aWords) {
    text += (text.empty() ? "" : aSeparator) + word;
  }
  return text;
}

constexpr std::int64_t kMillisecondsPerSecond = 1000;

std::string
Range(const IntegerSetting& aSetting)
{
  std::string text =
    std::to_string(aSetting.m_min) + " to " + std::to_string(aSetting.m_max);
  return aSetting.m_unit.empty() ? text : text + " " + aSetting.m_unit;
}

/// The shortest text that reads as the same number.
std::string
NumberText(double aNumber)
{
  std::array<char, 32> text{};
  const auto [end, error] =
    std::to_chars(text.data(), text.data() + text.size(), aNumber);
  return std::string(text.data(), end);
}

std::string
DefaultText(const Setting& aSetting)
{
  if (const auto* number = std::get_if<NumberSetting>(&aSetting)) {
    return number->m_default ? "default " + NumberText(*number->m_default)
                             : "required";
  }
  if (const auto* integer = std::get_if<IntegerSetting>(&aSetting)) {
    return integer->m_default ? "default " + std::to_string(*integer->m_default)
                              : "required";
  }
  if (const auto* text = std::get_if<TextSetting>(&aSetting)) {
    return text->m_default ? "default \"" + *text->m_default + "\""
                           : "required";
  }
  if (const auto* address = std::get_if<AddressSetting>(&aSetting)) {
    return address->m_isRequired ? "required" : "default none";
  }
  return "default off";
}

std::string
AllowedText(const Setting& aSetting)
{
  if (const auto* number = std::get_if<NumberSetting>(&aSetting)) {
    return NumberText(number->m_min) + " to " + NumberText(number->m_max);
  }
  if (const auto* integer = std::get_if<IntegerSetting>(&aSetting)) {
    return Range(*integer);
  }
  if (const auto* text = std::get_if<TextSetting>(&aSetting)) {
    return text->m_allowed.empty() ? "text" : Join(text->m_allowed, " or ");
  }
  if (const auto* address = std::get_if<AddressSetting>(&aSetting)) {
    return address->m_isList ? "a.b.c.d:port, separated by commas"
                             : "a.b.c.d:port";
  }
  return "true or false";
}

std::string
HelpText(const Setting& aSetting)
{
  return std::visit(
    [](const auto& aAlternative) { return aAlternative.m_help; }, aSetting);
}

Error
InvalidSetting(const Setting& aSetting, const std::string& aValue)
{
  const std::string found =
    aValue.empty() ? " is not set" : " is '" + aValue + "'";
  return Error(ErrorCode::InvalidArgument,
               "settings.check",
               "",
               "--" + NameOf(aSetting) + found +
                 ", allowed: " + AllowedText(aSetting));
}

Result<std::int64_t>
ReadInteger(const IntegerSetting& aSetting, const std::string& aText)
{
  std::int64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [next, error] = std::from_chars(aText.data(), end, number);
  const std::string_view unit(next, static_cast<std::size_t>(end - next));
  const bool isTime = aSetting.m_unit == "ms";
  const bool isUnitValid =
    unit.empty() || unit == aSetting.m_unit || (isTime && unit == "s");
  if (error != std::errc() || !isUnitValid) {
    return InvalidSetting(aSetting, aText);
  }
  // Compared with the scaled bound, because scaling the number first could
  // overflow.
  const std::int64_t scale = isTime && unit == "s" ? kMillisecondsPerSecond : 1;
  if (number > aSetting.m_max / scale || number * scale < aSetting.m_min) {
    return InvalidSetting(aSetting, aText);
  }
  return number * scale;
}

Result<std::vector<NetworkAddress>>
ReadAddresses(const AddressSetting& aSetting, const std::string& aText)
{
  std::vector<NetworkAddress> addresses;
  std::size_t start = 0;
  while (start <= aText.size()) {
    const std::size_t comma = std::min(aText.find(',', start), aText.size());
    const auto address =
      NetworkAddress::Parse(aText.substr(start, comma - start));
    if (!address || (!aSetting.m_isList && comma != aText.size())) {
      return InvalidSetting(aSetting, aText);
    }
    addresses.push_back(address.value());
    start = comma + 1;
  }
  return addresses;
}

/// Whether a flag may be given more than once.
bool
IsList(const Setting& aSetting)
{
  const auto* address = std::get_if<AddressSetting>(&aSetting);
  return address != nullptr && address->m_isList;
}

/// Returns all values of a repeated flag, separated by commas.
std::string
AllValues(const cxxopts::ParseResult& aParsed, const std::string& aName)
{
  std::string text;
  for (const cxxopts::KeyValue& argument : aParsed.arguments()) {
    if (argument.key() == aName) {
      text += (text.empty() ? "" : ",") + argument.value();
    }
  }
  return text;
}

/// Returns the unparsed value of a setting from the command line or, failing
/// that, the environment.
std::optional<std::string>
FindValue(const cxxopts::ParseResult& aParsed, const Setting& aSetting)
{
  const std::string& name = NameOf(aSetting);
  if (aParsed.count(name) > 0) {
    return IsList(aSetting) ? AllValues(aParsed, name)
                            : aParsed[name].as<std::string>();
  }
  const char* value = std::getenv(EnvironmentName(name).c_str());
  return value != nullptr ? std::optional<std::string>(value) : std::nullopt;
}

using Value = std::
  variant<std::int64_t, double, std::string, std::vector<NetworkAddress>, bool>;

Result<Value>
Read(const IntegerSetting& aSetting, const std::optional<std::string>& aText)
{
  if (!aText && aSetting.m_default) {
    return Value(*aSetting.m_default);
  }
  BOOST_OUTCOME_TRY(const auto number,
                    ReadInteger(aSetting, aText.value_or("")));
  return Value(number);
}

Result<Value>
Read(const NumberSetting& aSetting, const std::optional<std::string>& aText)
{
  if (!aText && aSetting.m_default) {
    return Value(*aSetting.m_default);
  }
  const std::string text = aText.value_or("");
  const char* const end = text.data() + text.size();
  double number = 0;
  const auto [next, error] = std::from_chars(text.data(), end, number);
  const bool isInRange = number >= aSetting.m_min && number <= aSetting.m_max;
  if (error != std::errc() || next != end || !isInRange) {
    return InvalidSetting(aSetting, text);
  }
  return Value(number);
}

Result<Value>
Read(const TextSetting& aSetting, const std::optional<std::string>& aText)
{
  if (!aText && aSetting.m_default) {
    return Value(*aSetting.m_default);
  }
  const auto& allowed = aSetting.m_allowed;
  const bool isAllowed =
    allowed.empty() ||
    std::find(allowed.begin(), allowed.end(), aText.value_or("")) !=
      allowed.end();
  if (!aText || aText->empty() || !isAllowed) {
    return InvalidSetting(aSetting, aText.value_or(""));
  }
  return Value(*aText);
}

Result<Value>
Read(const AddressSetting& aSetting, const std::optional<std::string>& aText)
{
  if (!aText && !aSetting.m_isRequired) {
    return Value(std::vector<NetworkAddress>());
  }
  BOOST_OUTCOME_TRY(auto addresses,
                    ReadAddresses(aSetting, aText.value_or("")));
  return Value(std::move(addresses));
}

Result<Value>
Read(const SwitchSetting& aSetting, const std::optional<std::string>& aText)
{
  if (!aText || *aText == "false") {
    return Value(false);
  }
  if (*aText != "true") {
    return InvalidSetting(aSetting, *aText);
  }
  return Value(true);
}

std::string
FormatValue(const Value& aValue)
{
  if (const auto* integer = std::get_if<std::int64_t>(&aValue)) {
    return std::to_string(*integer);
  }
  if (const auto* number = std::get_if<double>(&aValue)) {
    return NumberText(*number);
  }
  if (const auto* text = std::get_if<std::string>(&aValue)) {
    return *text;
  }
  if (const auto* isOn = std::get_if<bool>(&aValue)) {
    return *isOn ? "true" : "false";
  }
  std::vector<std::string> texts;
  for (const auto& address : std::get<std::vector<NetworkAddress>>(aValue)) {
    texts.push_back(address.ToString());
  }
  return Join(texts, ",");
}

bool
HasArgument(int aCount, const char* const* aArguments, const std::string& aFlag)
{
  return std::find(aArguments + 1, aArguments + aCount, aFlag) !=
         aArguments + aCount;
}

} // namespace

std::string
EnvironmentName(const std::string& aName)
{
  std::string name = kPrefix;
  for (const char character : aName) {
    name += character == '-' ? '_'
                             : static_cast<char>(std::toupper(
                                 static_cast<unsigned char>(character)));
  }
  return name;
}

std::int64_t
Settings::Integer(const std::string& aName) const
{
  return std::get<std::int64_t>(m_values.at(aName));
}

double
Settings::Number(const std::string& aName) const
{
  return std::get<double>(m_values.at(aName));
}

Duration
Settings::Milliseconds(const std::string& aName) const
{
  return std::chrono::milliseconds(Integer(aName));
}

const std::string&
Settings::Text(const std::string& aName) const
{
  return std::get<std::string>(m_values.at(aName));
}

NetworkAddress
Settings::Address(const std::string& aName) const
{
  const auto& addresses = Addresses(aName);
  return addresses.empty() ? NetworkAddress() : addresses.front();
}

const std::vector<NetworkAddress>&
Settings::Addresses(const std::string& aName) const
{
  return std::get<std::vector<NetworkAddress>>(m_values.at(aName));
}

bool
Settings::IsOn(const std::string& aName) const
{
  return std::get<bool>(m_values.at(aName));
}

SettingsParser::SettingsParser(std::string aProgram,
                               std::string aSummary,
                               std::string aPositional)
  : m_program(std::move(aProgram))
  , m_summary(std::move(aSummary))
  , m_positionalHelp(std::move(aPositional))
{
}

std::string
SettingsParser::Help() const
{
  std::string text = m_summary + "\n\nUsage: " + m_program + " [flags]";
  text += (m_positionalHelp.empty() ? "" : " " + m_positionalHelp) + "\n\n";
  for (const Setting& setting : m_settings) {
    text += "  --" + NameOf(setting) + " (" + EnvironmentName(NameOf(setting)) +
            ")\n      " + HelpText(setting) +
            " Allowed: " + AllowedText(setting) + "; " + DefaultText(setting) +
            ".\n";
  }
  text += "  --check-settings\n      Prints the settings and ends.\n"
          "  --help\n      Prints this text.\n"
          "  --version\n      Prints the version.\n";
  return text;
}

Result<Settings>
SettingsParser::Check(int aCount, const char* const* aArguments) const
{
  cxxopts::Options options(m_program, m_summary);
  for (const Setting& setting : m_settings) {
    const bool isSwitch = std::holds_alternative<SwitchSetting>(setting);
    auto value = cxxopts::value<std::string>();
    options.add_options()(
      NameOf(setting), "", isSwitch ? value->implicit_value("true") : value);
  }
  options.add_options()("check-settings", "")(
    "words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({ "words" });
  Settings settings;
  try {
    const cxxopts::ParseResult parsed = options.parse(aCount, aArguments);
    if (parsed.count("words") > 0) {
      settings.m_positional = parsed["words"].as<std::vector<std::string>>();
    }
    for (const Setting& setting : m_settings) {
      const auto text = FindValue(parsed, setting);
      BOOST_OUTCOME_TRY(
        auto value,
        std::visit(
          [&](const auto& aAlternative) { return Read(aAlternative, text); },
          setting));
      settings.m_values.emplace(NameOf(setting), std::move(value));
    }
  } catch (const cxxopts::exceptions::exception& exception) {
    return Error(
      ErrorCode::InvalidArgument, "settings.parse", "", exception.what());
  }
  if (m_positionalHelp.empty() && !settings.m_positional.empty()) {
    return Error(
      ErrorCode::InvalidArgument,
      "settings.parse",
      "",
      "'" + settings.m_positional.front() +
        "' is not a flag; the program takes no positional arguments");
  }
  return settings;
}

ParsedCommand
SettingsParser::Parse(int aCount, const char* const* aArguments) const
{
  ParsedCommand command;
  if (HasArgument(aCount, aArguments, "--help")) {
    std::fputs(Help().c_str(), stdout);
    command.m_exitStatus = 0;
    return command;
  }
  if (HasArgument(aCount, aArguments, "--version")) {
    std::printf("%s %s\n", m_program.c_str(), TARRAGONTRAY_VERSION);
    command.m_exitStatus = 0;
    return command;
  }
  Result<Settings> settings = Check(aCount, aArguments);
  if (!settings) {
    std::fprintf(
      stderr, "%s: %s\n", m_program.c_str(), settings.error().Detail().c_str());
    command.m_exitStatus = kExitRefused;
    return command;
  }
  command.m_settings = std::move(settings.value());
  if (HasArgument(aCount, aArguments, "--check-settings")) {
    for (const auto& [name, value] : command.m_settings.m_values) {
      std::printf("%s=%s\n", name.c_str(), FormatValue(value).c_str());
    }
    command.m_exitStatus = 0;
  }
  return command;
}

} // namespace tarragontray
