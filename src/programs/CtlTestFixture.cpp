#include "programs/CtlTestFixture.h"

#include <cstdlib>
#include <fstream>
#include <future>
#include <utility>

#include <boost/asio/post.hpp>
#include <criterion/criterion.h>
#include <unistd.h>

#include "version/ConfigurationJson.h"
#include "version/ConfigurationSamples.h"

namespace tarragontray {

namespace {

constexpr NetworkAddress kAnyPort(0x7F000001, 0);

} // namespace

CtlTestEnvironment::CtlTestEnvironment()
  : m_work(m_context.get_executor())
{
  StandinPlatformSettings settings;
  settings.m_address = kAnyPort;
  settings.m_adminAddress = kAnyPort;
  m_platform =
    std::move(StandinPlatform::Create(m_context, m_clock, settings)).value();
  FaultyServerSettings node;
  node.m_address = kAnyPort;
  m_node = std::move(FaultyHttpServer::Listen(
                       m_context,
                       node,
                       [this](const FaultyHttpServer::Exchange& aExchange) {
                         aExchange->Answer({ 200, {}, NextNodeStatus() });
                       }))
             .value();
  m_thread = std::thread([this] { m_context.run(); });
}

CtlTestEnvironment::~CtlTestEnvironment()
{
  m_context.stop();
  m_thread.join();
}

void
CtlTestEnvironment::SetFaults(const PlatformFaults& aFaults)
{
  RunOnThread([&] { cr_assert(m_platform->SetFaults(aFaults).has_value()); });
}

std::uint64_t
CtlTestEnvironment::WriteCount()
{
  std::uint64_t writes = 0;
  RunOnThread([&] { writes = m_platform->Counts().m_writes; });
  return writes;
}

void
CtlTestEnvironment::SetNodeStatuses(std::vector<std::string> aStatuses)
{
  RunOnThread([&] { m_statuses = std::move(aStatuses); });
}

void
CtlTestEnvironment::RunOnThread(const std::function<void()>& aTask)
{
  std::promise<void> done;
  boost::asio::post(m_context, [&] {
    aTask();
    done.set_value();
  });
  done.get_future().wait();
}

std::string
CtlTestEnvironment::NextNodeStatus()
{
  std::string status = m_statuses.empty() ? "{}" : m_statuses.front();
  if (m_statuses.size() > 1) {
    m_statuses.erase(m_statuses.begin());
  }
  return status;
}

TemporaryFile::TemporaryFile(const std::string& aText)
{
  const int descriptor = mkstemp(m_path.data());
  cr_assert(descriptor >= 0);
  close(descriptor);
  std::ofstream(m_path) << aText;
}

TemporaryFile::~TemporaryFile()
{
  unlink(m_path.c_str());
}

CommandLine::CommandLine(const CtlTestEnvironment& aEnvironment)
  : m_platform("--platform=" + aEnvironment.Platform().ToString())
  , m_node("--node=" + aEnvironment.Node().ToString())
{
}

Result<CtlOutput>
CommandLine::Run(const std::vector<std::string>& aWords,
                 const std::vector<std::string>& aFlags) const
{
  std::vector<std::string> line{ "ctl", m_platform };
  line.insert(line.end(), aFlags.begin(), aFlags.end());
  line.insert(line.end(), aWords.begin(), aWords.end());
  std::vector<const char*> arguments;
  for (const std::string& word : line) {
    arguments.push_back(word.c_str());
  }
  const CtlCommands commands = AllCommands();
  const Settings settings =
    CtlSettingsParser(commands)
      .Check(static_cast<int>(arguments.size()), arguments.data())
      .value();
  const auto session =
    CtlSession::Create({ .m_platform = settings.Address("platform"),
                         .m_nodes = settings.Addresses("node"),
                         .m_timeout = settings.Milliseconds("timeout-ms") });
  return RunCommand(commands, *session.value(), settings);
}

CtlOutput
CommandLine::RunSuccessfully(const std::vector<std::string>& aWords,
                             const std::vector<std::string>& aFlags) const
{
  const Result<CtlOutput> output = Run(aWords, aFlags);
  cr_assert(output.has_value(), "%s", output.error().Message().c_str());
  cr_assert(output.value().m_exitStatus == kExitDone,
            "%s",
            output.value().m_text.c_str());
  return output.value();
}

std::string
ParametersText(std::int64_t aWait)
{
  AccountParameters parameters = SampleParameters();
  parameters.m_values[ParameterName{ "wait" }] = aWait;
  ServiceParameters& boxOffice = parameters.m_services[0];
  boxOffice.m_move.reset();
  boxOffice.m_liveVersions = { UpstreamVersion{ "v1" } };
  return EncodeParameters(parameters);
}

void
WriteInitialConfiguration(const CommandLine& aCtl)
{
  aCtl.RunSuccessfully(
    { "template", "put", TemporaryFile(SampleTemplateText()).Path() });
  aCtl.RunSuccessfully(
    { "config", "apply", TemporaryFile(ParametersText(101)).Path() });
}

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace tarragontray
