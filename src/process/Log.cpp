#include "process/Log.h"

#include <iostream>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

namespace tarragontray {

namespace log = boost::log;
namespace expressions = boost::log::expressions;

namespace {

using Logger = log::sources::severity_logger_mt<LogLevel>;

Logger&
TheLogger()
{
  static Logger logger;
  return logger;
}

bool
NeedsQuotes(const std::string& aValue)
{
  return aValue.empty() || aValue.find_first_of(" \"=\n") != std::string::npos;
}

std::string
Quoted(const std::string& aValue)
{
  std::string quoted = "\"";
  for (const char character : aValue) {
    if (character == '"' || character == '\\') {
      quoted += '\\';
    }
    quoted += character == '\n' ? ' ' : character;
  }
  return quoted + "\"";
}

} // namespace

/// Found by Boost.Log through argument-dependent lookup.
std::ostream&
operator<<(std::ostream& aStream, LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return aStream << "debug";
    case LogLevel::Info:
      return aStream << "info";
    case LogLevel::Warning:
      return aStream << "warning";
    case LogLevel::Error:
      return aStream << "error";
  }
  return aStream;
}

void
StartLog(LogLevel aLevel)
{
  log::add_common_attributes();
  log::add_console_log(
    std::clog,
    log::keywords::auto_flush = true,
    log::keywords::format =
      (expressions::stream
       << expressions::format_date_time<boost::posix_time::ptime>(
            "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
       << " " << expressions::attr<LogLevel>("Severity") << " "
       << expressions::smessage));
  log::core::get()->set_filter(expressions::attr<LogLevel>("Severity") >=
                               aLevel);
}

LogLevel
LogLevelOf(std::string_view aName)
{
  if (aName == "debug") {
    return LogLevel::Debug;
  }
  if (aName == "warning") {
    return LogLevel::Warning;
  }
  return aName == "error" ? LogLevel::Error : LogLevel::Info;
}

void
Log(LogLevel aLevel,
    std::string_view aPart,
    std::string_view aSentence,
    std::initializer_list<LogField> aFields)
{
  std::string line(aPart);
  line += ": ";
  line += aSentence;
  for (const LogField& field : aFields) {
    line += " ";
    line += field.m_key;
    line += "=";
    line += NeedsQuotes(field.m_value) ? Quoted(field.m_value) : field.m_value;
  }
  BOOST_LOG_SEV(TheLogger(), aLevel) << line;
}

void
Log(LogLevel aLevel,
    std::string_view aPart,
    std::string_view aSentence,
    const Error& aError)
{
  Log(aLevel,
      aPart,
      aSentence,
      { { "error", std::string(Name(aError.Code())) },
        { "step", aError.Step() },
        { "peer", aError.Peer() },
        { "detail", aError.Detail() } });
}

} // namespace tarragontray
