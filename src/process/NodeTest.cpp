#include "process/Node.h"

#include <chrono>
#include <future>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <unistd.h>

namespace tarragontray {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr char kHead[] = "POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\n";

/// A host of the loopback network of this process, 127.a.b.0.
NetworkAddress
LocalAddress(std::uint16_t aPort)
{
  constexpr std::uint32_t kFirstNetwork = 192;
  constexpr std::uint32_t kNetworks = 32;
  const auto pid = static_cast<std::uint32_t>(getpid());
  return NetworkAddress(0x7F000001U | (kFirstNetwork + pid % kNetworks) << 16U |
                          (pid / kNetworks % 256) << 8U,
                        aPort);
}

/// A node whose platform refuses connections, so that it answers every request
/// with a refusal.
NodeSettings
MakeSettings(int aFrontThreads)
{
  const std::string flags[] = {
    "--vm=vm-1",
    "--data-centre=dc",
    "--front-address=" + LocalAddress(8000).ToString(),
    "--peer-address=" + LocalAddress(8001).ToString(),
    "--admin-address=" + LocalAddress(8002).ToString(),
    "--platform=" + LocalAddress(8003).ToString(),
    "--front-threads=" + std::to_string(aFrontThreads),
    "--leave-notice-ms=0",
    "--drain-limit-ms=20000",
  };
  std::vector<const char*> arguments{ "node" };
  for (const std::string& flag : flags) {
    arguments.push_back(flag.c_str());
  }
  const ParsedCommand parsed = NodeSettingsParser().Parse(
    static_cast<int>(arguments.size()), arguments.data());
  cr_assert(!parsed.m_exitStatus);
  return ReadNodeSettings(parsed.m_settings);
}

} // namespace

/// Guards against a node that takes itself for idle, and exits, before its
/// front threads have told which requests they are reading. A race of two
/// threads, hence the repetitions.
Test(Node, DrainWaitsForARequestThatIsBeingRead, .timeout = 100)
{
  constexpr int kRounds = 20;
  const SystemClock clock;
  for (int round = 0; round < kRounds; ++round) {
    const NodeSettings settings = MakeSettings(1 + round % 3);
    auto node = Node::Create(settings, NativeDialects(), clock);
    cr_assert(node.has_value(), "%s", node.error().Message().c_str());
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(
      tcp::endpoint(asio::ip::address_v4(settings.m_frontAddress.Ip()),
                    settings.m_frontAddress.Port()));
    // The answer to the first request shows that the second is being read.
    asio::write(socket, asio::buffer(std::string(kHead) + "hi" + kHead + "h"));
    std::string answer;
    asio::read_until(socket, asio::dynamic_buffer(answer), "no-configuration");
    auto drained =
      std::async(std::launch::async, [&] { return node.value()->Drain(); });
    cr_expect(drained.wait_for(milliseconds(200)) ==
                std::future_status::timeout,
              "round %d: drained while a request was being read",
              round);
    asio::write(socket, asio::buffer(std::string("i")));
    answer.clear();
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    socket.close();
    cr_expect(answer.find("no-configuration") != std::string::npos,
              "round %d: %s",
              round,
              answer.c_str());
    cr_expect(drained.get());
  }
}

} // namespace tarragontray
