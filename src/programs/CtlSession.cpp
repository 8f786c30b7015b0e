#include "programs/CtlSession.h"

#include <array>
#include <cstdio>
#include <random>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/Clock.h"
#include "connection/HttpClient.h"
#include "connection/PlatformSession.h"

namespace tarragontray {

namespace {

/// A status lists all members and moves on the node, so that it grows with the
/// mesh.
constexpr ByteCount kMaxStatusSize{ 32U << 20U };
constexpr std::uint16_t kHttpOk = 200;

/// Timer that runs its tasks on an event loop.
class LoopTimer final : public Timer
{
public:
  explicit LoopTimer(boost::asio::io_context& aContext)
    : m_context(aContext)
  {
  }

  void After(Duration aDelay, std::function<void()> aTask) override
  {
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, aDelay);
    timer->async_wait([timer, task = std::move(aTask)](
                        const boost::system::error_code&) { task(); });
  }

private:
  boost::asio::io_context& m_context;
};

/// Returns 64 bits from the random device of the system.
std::uint64_t
RandomSeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/// The session over sockets. The event loop runs only while a call is in
/// progress.
class SocketCtlSession final : public CtlSession
{
public:
  explicit SocketCtlSession(CtlTargets aTargets)
    : m_targets(std::move(aTargets))
    , m_timer(m_context)
    , m_random(RandomSeed())
  {
  }

  /// The event loop that the platform must use.
  boost::asio::io_context& Context() { return m_context; }
  /// Precondition: no call has been made.
  void SetPlatform(std::unique_ptr<Platform> aPlatform)
  {
    m_platform = std::move(aPlatform);
  }

  Result<PlatformObject> Read(const ObjectKey& aKey) override
  {
    if (!m_platform) {
      return MissingPlatformError();
    }
    return Await<Result<PlatformObject>>(
      [&](auto aDone) { m_platform->Read(aKey, aDone); });
  }

  Result<std::optional<PlatformObject>> Find(const ObjectKey& aKey) override
  {
    Result<PlatformObject> object = Read(aKey);
    if (object) {
      return std::optional(std::move(object).value());
    }
    if (object.error().Code() == ErrorCode::NotFound) {
      return std::optional<PlatformObject>();
    }
    return object.error();
  }

  Result<PlatformListing> List(const std::string& aPrefix) override
  {
    if (!m_platform) {
      return MissingPlatformError();
    }
    return Await<Result<PlatformListing>>(
      [&](auto aDone) { m_platform->List(aPrefix, aDone); });
  }

  WriteReport Write(PlatformWrite aWrite) override
  {
    if (!m_platform) {
      WriteReport report;
      report.m_error = MissingPlatformError();
      return report;
    }
    ConditionalWriter writer(*m_platform, m_timer, m_random);
    return Await<WriteReport>(
      [&](auto aDone) { writer.Write(std::move(aWrite), aDone); });
  }

  Result<std::string> NodeStatus(const NetworkAddress& aNode) override
  {
    const auto client = HttpClient::Create(
      m_context, { .m_peer = aNode, .m_maxBody = kMaxStatusSize });
    HttpCall call;
    call.m_request.m_method = "GET";
    call.m_request.m_target = "/status";
    call.m_step = "node.status";
    call.m_timeout = m_targets.m_timeout;
    Result<HttpAnswerParts> answer = Await<Result<HttpAnswerParts>>(
      [&](auto aDone) { client->Send(std::move(call), aDone); });
    if (!answer) {
      return answer.error();
    }
    if (answer.value().m_status != kHttpOk) {
      return Error(ErrorCode::Unavailable,
                   "node.status",
                   aNode.ToString(),
                   "HTTP status " + std::to_string(answer.value().m_status) +
                     " instead of 200");
    }
    return std::move(answer).value().m_body;
  }

  const std::vector<NetworkAddress>& Nodes() const override
  {
    return m_targets.m_nodes;
  }

  OperationId NewOperation() override
  {
    std::array<char, 40> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "ctl-%016llx%016llx",
                  static_cast<unsigned long long>(m_random.Next()),
                  static_cast<unsigned long long>(RandomSeed()));
    return OperationId(text.data());
  }

  WallTime Now() const override { return m_clock.WallNow(); }

  void Wait(Duration aTime) override
  {
    Await<bool>([&](auto aDone) {
      m_timer.After(aTime, [aDone]() mutable { aDone(true); });
    });
  }

private:
  /// Starts a call with aStart and runs the event loop until the call has
  /// ended. Returns the result that the call passes to the function given to
  /// aStart.
  template<typename T, typename Start>
  T Await(Start aStart)
  {
    std::optional<T> result;
    aStart([&result](T aResult) { result.emplace(std::move(aResult)); });
    m_context.restart();
    const auto work = boost::asio::make_work_guard(m_context);
    while (!result) {
      m_context.run_one();
    }
    return std::move(*result);
  }

  static Error MissingPlatformError()
  {
    return Error(ErrorCode::InvalidArgument,
                 "ctl.settings",
                 "",
                 "--platform: required for this command");
  }

  CtlTargets m_targets;
  boost::asio::io_context m_context;
  LoopTimer m_timer;
  SeededRandom m_random;
  SystemClock m_clock;
  std::unique_ptr<Platform> m_platform;
};

} // namespace

Result<std::unique_ptr<CtlSession>>
CtlSession::Create(CtlTargets aTargets)
{
  if (aTargets.m_timeout <= Duration(0)) {
    return Error(ErrorCode::InvalidArgument,
                 "ctl.settings",
                 "",
                 "--timeout-ms: must be positive");
  }
  const NetworkAddress address = aTargets.m_platform;
  const Duration timeout = aTargets.m_timeout;
  auto session = std::make_unique<SocketCtlSession>(std::move(aTargets));
  if (address.IsSet()) {
    PlatformSettings settings;
    settings.m_address = address;
    settings.m_timeout = timeout;
    auto platform =
      PlatformSession::Create(session->Context(), std::move(settings));
    if (!platform) {
      return platform.error();
    }
    session->SetPlatform(std::move(platform).value());
  }
  return std::unique_ptr<CtlSession>(std::move(session));
}

} // namespace tarragontray
