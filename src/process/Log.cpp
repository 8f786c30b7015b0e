#include "process/Log.h"

#include <atomic>
#include <iostream>

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>

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

/// Lines that wait to be written; what does not fit is dropped.
constexpr std::size_t kMaxWaitingLines = 2048;

std::atomic<std::uint64_t> g_dropped = 0;
std::atomic<LogLevel> g_minLevel = LogLevel::Info;

/// Drops what does not fit and counts it, so that nobody waits for the log.
class DropAndCount
{
protected:
  // Boost.Log gives these names. NOLINTBEGIN(readability-identifier-naming)
  template<typename Lock>
  static bool on_overflow(const log::record_view& /*aRecord*/, Lock& /*aLock*/)
  {
    ++g_dropped;
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
  // NOLINTEND(readability-identifier-naming)
};

using Backend = log::sinks::text_ostream_backend;
using Sink = log::sinks::asynchronous_sink<
  Backend,
  log::sinks::bounded_fifo_queue<kMaxWaitingLines, DropAndCount>>;

boost::shared_ptr<Sink>&
TheSink()
{
  static boost::shared_ptr<Sink> sink;
  return sink;
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

std::string
Milliseconds(Duration aTime)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count());
}

void
StartLog(LogLevel aLevel, LogOutput aOutput)
{
  log::add_common_attributes();
  const auto backend = boost::make_shared<Backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(
    aOutput == LogOutput::StandardOutput ? &std::cout : &std::clog,
    boost::null_deleter()));
  backend->auto_flush(true);
  TheSink() = boost::make_shared<Sink>(backend);
  TheSink()
    ->set_formatter(expressions::stream
                    << expressions::format_date_time<boost::posix_time::ptime>(
                         "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                    << " " << expressions::attr<LogLevel>("Severity") << " "
                    << expressions::smessage);
  log::core::get()->add_sink(TheSink());
  g_minLevel = aLevel;
}

void
StopLog()
{
  if (TheSink()) {
    log::core::get()->remove_sink(TheSink());
    TheSink()->stop();
    TheSink()->flush();
    TheSink().reset();
  }
}

bool
IsLogged(LogLevel aLevel)
{
  return aLevel >= g_minLevel;
}

std::uint64_t
DroppedLogLines()
{
  return g_dropped;
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
  if (!IsLogged(aLevel)) {
    return;
  }
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
