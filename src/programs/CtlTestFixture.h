/// \file
/// Runs command lines of tarragontrayctl against the platform's stand-in and a
/// node that answers with given statuses; for tests.
///
///     Surroundings surroundings;
///     const Operator op(surroundings);
///     Prepare(op);
///     op.Done({ "config", "get", "mesqel-gate" });
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

/// The stand-in for the platform and one node, on a thread of their own.
class Surroundings
{
public:
  Surroundings();
  ~Surroundings();
  Surroundings(const Surroundings&) = delete;
  Surroundings& operator=(const Surroundings&) = delete;

  NetworkAddress Platform() const { return m_platform->Address(); }
  NetworkAddress Node() const { return m_node->Address(); }

  void SetFaults(const PlatformFaults& aFaults);
  std::uint64_t Writes();
  /// The node answers with these, one after the other, the last one for good.
  void SetStatuses(std::vector<std::string> aStatuses);

private:
  void OnThread(const std::function<void()>& aTask);
  std::string NextStatus();

  SystemClock m_clock;
  boost::asio::io_context m_context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    m_work;
  std::unique_ptr<StandinPlatform> m_platform;
  std::unique_ptr<FaultyHttpServer> m_node;
  std::vector<std::string> m_statuses;
  std::thread m_thread;
};

/// A file for the time of a test.
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

/// Runs command lines as an operator would.
class Operator
{
public:
  explicit Operator(const Surroundings& aSurroundings);

  Result<CtlOutput> Run(const std::vector<std::string>& aWords,
                        const std::vector<std::string>& aFlags = {}) const;
  /// Fails the test unless the command ends with kExitDone.
  CtlOutput Done(const std::vector<std::string>& aWords,
                 const std::vector<std::string>& aFlags = {}) const;

  const std::string& NodeFlag() const { return m_node; }

private:
  std::string m_platform;
  std::string m_node;
};

/// A version of the account mesqel-gate, told apart by its wait.
std::string
Parameters(std::int64_t aWait);

/// Writes the sample template and a first version of the account, which gets
/// the revision 2 and the wait 101.
void
Prepare(const Operator& aOperator);

bool
Contains(const std::string& aText, const std::string& aPart);

} // namespace tarragontray
