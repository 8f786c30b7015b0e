/// \file
/// Test fixture that runs command lines of tarragontrayctl against the stand-in
/// platform and a simulated node that answers with preset statuses.
///
///     CtlTestEnvironment environment;
///     const CommandLine ctl(environment);
///     WriteInitialConfiguration(ctl);
///     ctl.RunSuccessfully({ "config", "get", "mesqel-gate" });
///
/// Thread safety: one thread.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "base/Clock.h"
#include "programs/CtlCommand.h"
#include "programs/FaultyHttpServer.h"
#include "programs/StandinPlatform.h"

namespace tarragontray {

/// The stand-in platform and one simulated node, which share one thread.
class CtlTestEnvironment
{
public:
  CtlTestEnvironment();
  ~CtlTestEnvironment();
  CtlTestEnvironment(const CtlTestEnvironment&) = delete;
  CtlTestEnvironment& operator=(const CtlTestEnvironment&) = delete;

  NetworkAddress Platform() const { return m_platform->Address(); }
  NetworkAddress Node() const { return m_node->Address(); }

  void SetFaults(const PlatformFaults& aFaults);
  /// Number of writes that the platform has counted.
  std::uint64_t WriteCount();
  /// Sets the node's answers to successive requests. The last one is repeated.
  void SetNodeStatuses(std::vector<std::string> aStatuses);

private:
  /// Runs the task on the thread of the servers and waits for it.
  void RunOnThread(const std::function<void()>& aTask);
  std::string NextNodeStatus();

  SystemClock m_clock;
  boost::asio::io_context m_context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    m_work;
  std::unique_ptr<StandinPlatform> m_platform;
  std::unique_ptr<FaultyHttpServer> m_node;
  std::vector<std::string> m_statuses;
  std::thread m_thread;
};

/// A temporary file with the given text; the destructor deletes it.
class TemporaryFile
{
public:
  explicit TemporaryFile(const std::string& aText);
  ~TemporaryFile();
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  const std::string& Path() const { return m_path; }

private:
  std::string m_path = "/tmp/tarragontray-ctl-test-XXXXXX";
};

/// Runs command lines with the addresses of the platform and the node.
class CommandLine
{
public:
  explicit CommandLine(const CtlTestEnvironment& aEnvironment);

  /// Runs the command line "FLAGS WORDS".
  Result<CtlOutput> Run(const std::vector<std::string>& aWords,
                        const std::vector<std::string>& aFlags = {}) const;
  /// Like Run, but fails the test unless the exit status is kExitDone.
  CtlOutput RunSuccessfully(const std::vector<std::string>& aWords,
                            const std::vector<std::string>& aFlags = {}) const;

  /// The flag that gives the command the simulated node.
  const std::string& NodeFlag() const { return m_node; }

private:
  std::string m_platform;
  std::string m_node;
};

/// Encoded parameters of the account mesqel-gate without a move. The value of
/// the parameter "wait" distinguishes versions.
std::string
ParametersText(std::int64_t aWait);

/// Writes the sample template and a first version of the account's
/// configuration with wait 101. The configuration gets revision 2.
void
WriteInitialConfiguration(const CommandLine& aCtl);

bool
Contains(const std::string& aText, const std::string& aPart);

} // namespace tarragontray
