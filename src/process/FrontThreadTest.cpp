#include "process/FrontThread.h"

#include <string>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include "connection/FrameStream.h"
#include "connection/Sockets.h"
#include "request/NativeDialect.h"

namespace tarragontray {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::seconds;

namespace {

const ClientAccountId kAccount("mesqel-gate");
const ServiceId kService{ kAccount, ServiceName("box-office") };

/// A view with one route, whose service has no target.
std::shared_ptr<const View>
MakeView(Duration aTimeout)
{
  Configuration configuration;
  configuration.m_account = kAccount;
  RouteSpec& route = configuration.m_routes.emplace_back();
  route.m_name = RouteName("buy");
  route.m_service = kService;
  route.m_pathPrefix = "/";
  route.m_timeout = aTimeout;
  auto view = std::make_shared<View>();
  view->m_configurations[kAccount] =
    std::make_shared<const Configuration>(std::move(configuration));
  view->m_services[kService].m_id = kService;
  return view;
}

/// Sends the first part of a request, begins the shutdown with aTimeLeft, and
/// sends the rest when no further requests are read. \return the answer.
std::string
AnswerAfterDrain(Duration aTimeout, Duration aTimeLeft)
{
  SystemClock clock;
  Metrics metrics(VmId("vm-1"), DataCentreId("dc"));
  IdleSignal inFlight;
  FrontSettings settings;
  settings.m_vm = VmId("vm-1");
  settings.m_address = NetworkAddress(0x7F000001, 0);
  settings.m_dialect = std::make_shared<NativeCallerDialect>();
  std::unique_ptr<FrontThread> front =
    FrontThread::Create(settings, clock, metrics, inFlight, [](auto) {
    }).value();
  front->Publish(MakeView(aTimeout));
  asio::io_context context;
  tcp::socket socket(context);
  const NetworkAddress address = front->Address();
  socket.connect(
    tcp::endpoint(asio::ip::address_v4(address.Ip()), address.Port()));
  const std::string head = "POST / HTTP/1.1\r\nx-client-account: mesqel-gate"
                           "\r\ncontent-length: 2\r\n\r\n";
  // The answer to the first request shows that the second is being read.
  asio::write(socket, asio::buffer(head + "hi" + head + "h"));
  std::string answer;
  asio::read_until(socket, asio::dynamic_buffer(answer), "no-target");
  front->Leave(clock.Now() + aTimeLeft);
  front->Drain();
  // Drain reports the request that is being read as in flight.
  while (inFlight.InFlight() == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  asio::write(socket, asio::buffer(std::string("i")));
  answer.clear();
  boost::system::error_code error;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  front->Stop();
  return answer;
}

/// Reads an API key from x-key.
class KeyDialect final : public NativeCallerDialect
{
public:
  Result<CallerRequest> Read(const HttpRequestParts& aRequest) const override
  {
    BOOST_OUTCOME_TRY(auto request, NativeCallerDialect::Read(aRequest));
    if (const std::string* key = FindHeader(aRequest.m_headers, "x-key")) {
      request.m_credential = { CallerCredential::Kind::ApiKey,
                               DigestApiKey(*key) };
    }
    return request;
  }
};

/// MakeView with one account, which holds "key-1", and a route "/open/" that
/// allows anonymous calls.
std::shared_ptr<const View>
MakeViewWithAccounts()
{
  const auto view = MakeView(seconds(1));
  Configuration configuration = *view->m_configurations.at(kAccount);
  configuration.m_callers.push_back({ ClientAccountId("caller"), {}, {} });
  configuration.m_callerKeys.push_back({ DigestApiKey("key-1"), 0 });
  RouteSpec open = configuration.m_routes.front();
  open.m_pathPrefix = "/open/";
  open.m_allowsAnonymous = true;
  configuration.m_routes.insert(configuration.m_routes.begin(), open);
  auto changed = std::make_shared<View>(*view);
  changed->m_configurations[kAccount] =
    std::make_shared<const Configuration>(std::move(configuration));
  return changed;
}

/// A view of one account with one API key, "k", and one call a second.
std::shared_ptr<const View>
MakeAccountView()
{
  auto view = std::make_shared<View>(*MakeView(seconds(1)));
  auto configuration =
    std::make_shared<Configuration>(*view->m_configurations[kAccount]);
  CallerAccount& account = configuration->m_callers.emplace_back();
  account.m_id = ClientAccountId("north");
  account.m_rate = AccountRate{ CallRate(1), CallCount(1) };
  configuration->m_callerKeys.push_back({ DigestApiKey("k"), 0 });
  auto accounts = std::make_shared<AccountsView>();
  accounts->m_revision = Revision(7);
  accounts->m_rates = RatesOf(*configuration);
  view->m_configurations[kAccount] = std::move(configuration);
  view->m_accounts = std::move(accounts);
  return view;
}

std::string
AnswerTo(const NetworkAddress& aAddress, const std::string& aKey)
{
  asio::io_context context;
  tcp::socket socket(context);
  socket.connect(
    tcp::endpoint(asio::ip::address_v4(aAddress.Ip()), aAddress.Port()));
  asio::write(socket,
              asio::buffer("POST / HTTP/1.1\r\nx-client-account: mesqel-gate"
                           "\r\nx-key: " +
                           aKey +
                           "\r\nconnection: close\r\ncontent-length: 0"
                           "\r\n\r\n"));
  std::string answer;
  boost::system::error_code error;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  return answer;
}

bool
Contains(const std::string& aText, const char* aPart)
{
  return aText.find(aPart) != std::string::npos;
}

/// Accepts one link and returns the service of the first call on it.
asio::awaitable<ServiceId>
ServiceOfFirstCall(tcp::acceptor& aAcceptor)
{
  auto stream = FrameStream::Create(co_await Accept(aAcceptor), "caller");
  while (true) {
    auto message = co_await stream->Receive();
    if (const Call* call = std::get_if<Call>(&message.value())) {
      co_return call->m_service;
    }
  }
}

} // namespace

/// With accounts in the configuration, "no-target" shows that a call was
/// accepted: the service has no target.
Test(FrontThread, ACallWithoutAValidKeyIsAccepted)
{
  SystemClock clock;
  Metrics metrics(VmId("vm-1"), DataCentreId("dc"));
  IdleSignal inFlight;
  FrontSettings settings;
  settings.m_address = NetworkAddress(0x7F000001, 0);
  settings.m_dialect = std::make_shared<KeyDialect>();
  std::unique_ptr<FrontThread> front =
    FrontThread::Create(settings, clock, metrics, inFlight, [](auto) {
    }).value();
  front->Publish(MakeViewWithAccounts());
  const auto reasonOf = [&](const std::string& aPath, const std::string& aKey) {
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(tcp::endpoint(asio::ip::address_v4(front->Address().Ip()),
                                 front->Address().Port()));
    asio::write(socket,
                asio::buffer("GET " + aPath + " HTTP/1.1\r\nconnection: close" +
                             "\r\nx-client-account: mesqel-gate\r\n" +
                             (aKey.empty() ? "" : "x-key: " + aKey + "\r\n") +
                             "\r\n"));
    std::string answer;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    const auto begin = answer.find("x-reason: ") + 10;
    return answer.substr(begin, answer.find('\r', begin) - begin);
  };
  cr_assert(reasonOf("/", "key-1") == "no-target");
  cr_assert(reasonOf("/", "key-2") == "unknown-caller");
  cr_assert(reasonOf("/", "") == "unknown-caller");
  cr_assert(reasonOf("/open/", "") == "no-target");
  cr_assert(reasonOf("/open/", "key-2") == "unknown-caller");
  front->Stop();
}

/// The call would be cut off while its target is at work.
Test(FrontThread, RequestReadAfterDrainIsForwardedWithoutEnoughTime)
{
  const std::string answer = AnswerAfterDrain(seconds(5), seconds(2));
  cr_assert(answer.find("x-reason: draining") != std::string::npos,
            "%s",
            answer.c_str());
}

Test(FrontThread, RequestReadAfterDrainWithEnoughTimeIsForwarded)
{
  const std::string answer = AnswerAfterDrain(seconds(1), seconds(5));
  cr_assert(answer.find("x-reason: no-target") != std::string::npos,
            "%s",
            answer.c_str());
}

// A node that doesn't know whether a key was revoked must not serve it, nor
// call a key unknown that may have been added. Without a token, no call of an
// account with a rate may pass.
Test(FrontThread, CallsWithKeysNeedAConfirmationAndAToken)
{
  SystemClock clock;
  Metrics metrics(VmId("vm-1"), DataCentreId("dc"));
  IdleSignal inFlight;
  FrontSettings settings;
  settings.m_vm = VmId("vm-1");
  settings.m_address = NetworkAddress(0x7F000001, 0);
  settings.m_dialect = std::make_shared<KeyDialect>();
  settings.m_freshness.m_limit = seconds(5);
  auto front =
    FrontThread::Create(settings, clock, metrics, inFlight, [](auto) {
    }).value();
  front->Publish(MakeAccountView());
  for (const char* key : { "k", "other" }) {
    cr_assert(Contains(AnswerTo(front->Address(), key), "stale-configuration"));
  }
  front->Confirm({ clock.BootNow(), Revision(7) });
  cr_assert(Contains(AnswerTo(front->Address(), "other"), "unknown-caller"));
  cr_assert(Contains(AnswerTo(front->Address(), "k"), "account-rate"));
  const std::string text = metrics.Text();
  cr_assert(Contains(text, "refused_stale_configuration"));
  front->Stop();
}

/// A guard refuses calls for another service than that of its upstream. All
/// calls of the second part of a split were refused as upstream-gone, since
/// they named the route's first service.
Test(FrontThread, ACallOfASplitNamesTheFirstService)
{
  const ServiceId part{ kAccount, ServiceName("catalogue") };
  asio::io_context context;
  tcp::acceptor peer(context,
                     { asio::ip::address_v4::loopback(), std::uint16_t{ 0 } });
  auto view = std::make_shared<View>(*MakeView(seconds(1)));
  Configuration configuration = *view->m_configurations.at(kAccount);
  configuration.m_routes[0].m_weightedServices = { { part, 1 } };
  view->m_configurations[kAccount] =
    std::make_shared<const Configuration>(std::move(configuration));
  Target target;
  target.m_vm = VmId("vm-2");
  target.m_peerAddress = AddressOf(peer.local_endpoint());
  target.m_slots = SlotCount(1);
  ServiceView& service = view->m_services[part];
  service.m_id = part;
  service.m_targets = { target };
  SystemClock clock;
  Metrics metrics(VmId("vm-1"), DataCentreId("dc"));
  IdleSignal inFlight;
  FrontSettings settings;
  settings.m_address = NetworkAddress(0x7F000001, 0);
  settings.m_dialect = std::make_shared<NativeCallerDialect>();
  std::unique_ptr<FrontThread> front =
    FrontThread::Create(settings, clock, metrics, inFlight, [](auto) {
    }).value();
  front->Publish(view);
  tcp::socket socket(context);
  socket.connect(tcp::endpoint(asio::ip::address_v4(front->Address().Ip()),
                               front->Address().Port()));
  asio::write(socket,
              asio::buffer(std::string("GET / HTTP/1.1\r\nx-client-account: "
                                       "mesqel-gate\r\n\r\n")));
  ServiceId received;
  asio::co_spawn(context,
                 ServiceOfFirstCall(peer),
                 [&](const std::exception_ptr&, const ServiceId& aService) {
                   received = aService;
                 });
  context.run();
  cr_assert(received == part, "%s", received.m_name.Value().c_str());
  front->Stop();
}

} // namespace tarragontray
