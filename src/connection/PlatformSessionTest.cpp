#include "connection/PlatformSession.h"

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include "base/Clock.h"
#include "connection/Sockets.h"
#include "programs/FaultyHttpServer.h"
#include "programs/StandinPlatform.h"

namespace tarragontray {

namespace {

constexpr auto kTestLimit = std::chrono::seconds(20);
constexpr NetworkAddress kAnyPort(0x7F000001, 0);

/// A session and a stand-in platform on one event loop.
class Fixture
{
public:
  explicit Fixture(PlatformSettings aSettings = {})
  {
    StandinPlatformSettings standin;
    standin.m_address = kAnyPort;
    standin.m_adminAddress = kAnyPort;
    auto created = StandinPlatform::Create(m_context, m_clock, standin);
    cr_assert(created.has_value());
    m_standin = std::move(created.value());
    aSettings.m_address = m_standin->Address();
    aSettings.m_counters = m_counters;
    auto session = PlatformSession::Create(m_context, aSettings);
    cr_assert(session.has_value());
    m_platform = std::move(session.value());
  }

  /// Runs the event loop until the call that aStart starts has ended.
  template<typename T, typename Start>
  Result<T> Await(Start aStart)
  {
    std::optional<Result<T>> ended;
    aStart([&ended](Result<T> aResult) { ended = std::move(aResult); });
    RunUntil([&ended]() { return ended.has_value(); });
    return std::move(*ended);
  }

  template<typename Predicate>
  void RunUntil(Predicate aDone)
  {
    const auto limit = std::chrono::steady_clock::now() + kTestLimit;
    while (!aDone()) {
      cr_assert(std::chrono::steady_clock::now() < limit, "no progress");
      m_context.run_one_until(limit);
    }
  }

  Result<Revision> Write(const std::string& aKey,
                         const std::string& aBody,
                         std::optional<Revision> aExpected = std::nullopt,
                         const std::string& aOperation = "op")
  {
    return Await<Revision>([&](auto aDone) {
      m_platform->Write(
        { ObjectKey(aKey), aBody, aExpected, OperationId(aOperation) }, aDone);
    });
  }

  /// A write that must succeed.
  Revision Put(const std::string& aKey, const std::string& aBody)
  {
    const auto revision = Write(aKey, aBody);
    cr_assert(revision.has_value(), "%s", revision.error().Message().c_str());
    return revision.value();
  }

  Result<PlatformObject> Read(const std::string& aKey)
  {
    return Await<PlatformObject>(
      [&](auto aDone) { m_platform->Read(ObjectKey(aKey), aDone); });
  }

  Result<PlatformListing> List(const std::string& aPrefix)
  {
    return Await<PlatformListing>(
      [&](auto aDone) { m_platform->List(aPrefix, aDone); });
  }

  Result<PlatformListing> Watch(Revision aAfter, Duration aWait)
  {
    return Await<PlatformListing>([&](auto aDone) {
      m_platform->Watch("configurations/", aAfter, aWait, aDone);
    });
  }

  void SetFaults(const PlatformFaults& aFaults)
  {
    cr_assert(m_standin->SetFaults(aFaults).has_value());
  }

  SystemClock m_clock;
  boost::asio::io_context m_context;
  std::shared_ptr<PlatformCounters> m_counters =
    std::make_shared<PlatformCounters>();
  std::unique_ptr<StandinPlatform> m_standin;
  std::unique_ptr<Platform> m_platform;
};

/// Answers the first request of a connection and no later one.
boost::asio::awaitable<void>
AnswerOnce(std::shared_ptr<boost::asio::ip::tcp::socket> aSocket)
{
  std::array<char, 4096> request{};
  co_await aSocket->async_read_some(boost::asio::buffer(request),
                                    boost::asio::use_awaitable);
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n"
                             R"({"objects":[],"revision":3})";
  co_await boost::asio::async_write(
    *aSocket, boost::asio::buffer(answer), boost::asio::use_awaitable);
  co_await aSocket->async_wait(boost::asio::ip::tcp::socket::wait_error,
                               boost::asio::use_awaitable);
}

boost::asio::awaitable<void>
AnswerOnceOnEachConnection(boost::asio::ip::tcp::acceptor& aAcceptor,
                           boost::asio::io_context& aContext)
{
  while (true) {
    auto socket = std::make_shared<boost::asio::ip::tcp::socket>(
      co_await Accept(aAcceptor));
    boost::asio::co_spawn(
      aContext, AnswerOnce(std::move(socket)), boost::asio::detached);
  }
}

/// Runs a list of an empty platform; true when it was answered.
bool
ListIsAnswered(boost::asio::io_context& aContext, Platform& aPlatform)
{
  std::optional<bool> isAnswered;
  aPlatform.List("configurations/", [&](const Result<PlatformListing>& aList) {
    isAnswered = aList.has_value();
  });
  while (!isAnswered) {
    aContext.run_one();
  }
  return *isAnswered;
}

PlatformSettings
ShortTimeouts()
{
  PlatformSettings settings;
  settings.m_timeout = std::chrono::milliseconds(150);
  settings.m_watchMargin = std::chrono::milliseconds(100);
  return settings;
}

void
AssertFails(ErrorCode aCode, const char* aStep, const Error& aError)
{
  cr_assert(aError.Code() == aCode, "%s", aError.Message().c_str());
  cr_assert_eq(
    aError.Step().rfind(aStep, 0), 0, "%s", aError.Message().c_str());
  cr_assert(NetworkAddress::Parse(aError.Peer()).has_value());
}

} // namespace

Test(PlatformSession, ReadReturnsTheWrittenObject)
{
  Fixture fixture;
  const std::string body = "{\"a\": \"\\u00e9 \xC3\xA9 \\n\"}\n";
  const auto revision = fixture.Write("templates/a b?c/1", body, Revision(0));
  cr_assert(revision.has_value());
  const auto object = fixture.Read("templates/a b?c/1");
  cr_assert(object.has_value());
  cr_assert(
    object.value().m_document ==
    (Document{ ObjectKey("templates/a b?c/1"), revision.value(), body }));
  cr_assert(object.value().m_operation == OperationId("op"));
}

Test(PlatformSession, ConditionalWriteConflictsWithAnotherWriter)
{
  Fixture fixture;
  const auto first = fixture.Write("configurations/a", "1", Revision(0));
  const auto second = fixture.Write("configurations/a", "2", first.value());
  const auto third = fixture.Write("configurations/a", "3", first.value());
  AssertFails(ErrorCode::Conflict, "platform.write", third.error());
  cr_assert_eq(fixture.Read("configurations/a").value().m_document.m_body, "2");
  cr_assert(second.value() > first.value());
  cr_assert_eq(fixture.m_counters->m_failures, 0);
}

Test(PlatformSession, ListsOnlyThePrefix)
{
  Fixture fixture;
  fixture.Put("configurations/a", "1");
  fixture.Put("configurations/b", "2");
  const Revision last = fixture.Put("templates/t/1", "3");
  const auto listing = fixture.List("configurations/");
  cr_assert_eq(listing.value().m_objects.size(), 2);
  cr_assert(listing.value().m_revision == last);
}

Test(PlatformSession, MissingObjectIsNotFound)
{
  Fixture fixture;
  AssertFails(ErrorCode::NotFound,
              "platform.read",
              fixture.Read("configurations/none").error());
}

Test(PlatformSession, WatchEndsWithTheChange)
{
  Fixture fixture;
  const Revision before = fixture.Put("configurations/a", "1");
  std::optional<Result<PlatformListing>> watched;
  fixture.m_platform->Watch(
    "configurations/",
    before,
    std::chrono::seconds(10),
    [&](Result<PlatformListing> aResult) { watched = std::move(aResult); });
  fixture.RunUntil([&]() { return fixture.m_standin->WaitingWatches() == 1; });
  const Revision after = fixture.Put("configurations/a", "2");
  fixture.RunUntil([&]() { return watched.has_value(); });
  cr_assert_eq(watched->value().m_objects.at(0).m_document.m_body, "2");
  cr_assert(watched->value().m_revision == after);
}

Test(PlatformSession, WatchWithoutChangeIsEmpty)
{
  Fixture fixture;
  const Revision before = fixture.Put("configurations/a", "1");
  const auto listing = fixture.Watch(before, std::chrono::milliseconds(20));
  cr_assert(listing.value().m_objects.empty());
  cr_assert(listing.value().m_revision == before);
}

Test(PlatformSession, WatchWithoutAnswerTimesOutAndTheNextOneWorks)
{
  Fixture fixture(ShortTimeouts());
  const Revision before = fixture.Put("configurations/a", "1");
  fixture.SetFaults({ .m_areWatchesSilent = true });
  AssertFails(ErrorCode::Timeout,
              "platform.watch",
              fixture.Watch(before, std::chrono::milliseconds(20)).error());
  fixture.SetFaults({});
  fixture.Put("configurations/a", "2");
  const auto next = fixture.Watch(before, std::chrono::milliseconds(20));
  cr_assert_eq(next.value().m_objects.at(0).m_document.m_body, "2");
}

Test(PlatformSession, AWatchThatIsCutOnAReusedConnectionIsSentAgainUnnoticed)
{
  Fixture fixture;
  const Revision before = fixture.Put("configurations/a", "1");
  cr_assert(fixture.Watch(before, std::chrono::milliseconds(20)).has_value());
  std::optional<Result<PlatformListing>> watched;
  fixture.m_platform->Watch(
    "configurations/",
    before,
    std::chrono::seconds(60),
    [&](Result<PlatformListing> aResult) { watched = std::move(aResult); });
  fixture.RunUntil([&]() { return fixture.m_standin->WaitingWatches() == 1; });
  fixture.m_standin->CutWatches();
  fixture.RunUntil([&]() { return watched.has_value(); });
  AssertFails(ErrorCode::Closed, "platform.watch", watched->error());
  cr_assert_eq(fixture.m_standin->Counts().m_watches, 2);
}

Test(PlatformSession, AWatchWhoseNumberIsGivenOutAgainMissesChanges)
{
  Fixture fixture;
  fixture.Put("configurations/a", "1");
  std::this_thread::sleep_for(std::chrono::milliseconds(60));
  const Revision before = fixture.Put("configurations/b", "2");
  fixture.m_standin->Restore(std::chrono::milliseconds(30));
  // The lost revision is given out again.
  fixture.Put("configurations/c", "3");
  const auto watched = fixture.Watch(before, std::chrono::milliseconds(20));
  AssertFails(ErrorCode::HistoryGone, "platform.watch", watched.error());
  const auto listing = fixture.List("configurations/");
  cr_assert(EraOf(listing.value().m_revision) == PlatformEra(1));
  cr_assert(listing.value().m_revision > before);
}

Test(PlatformSession, AConditionOnARevisionOfAnEarlierEraMatches)
{
  Fixture fixture;
  fixture.Put("configurations/a", "1");
  std::this_thread::sleep_for(std::chrono::milliseconds(60));
  const Revision lost = fixture.Put("configurations/a", "2");
  fixture.m_standin->Restore(std::chrono::milliseconds(30));
  fixture.Put("configurations/a", "3");
  AssertFails(ErrorCode::Conflict,
              "platform.write",
              fixture.Write("configurations/a", "4", lost).error());
  cr_assert_eq(fixture.Read("configurations/a").value().m_document.m_body, "3");
}

Test(PlatformSession, LostAnswerLeavesTheWriteInEffect)
{
  Fixture fixture;
  fixture.SetFaults({ .m_lostAnswers = 1 });
  const auto lost = fixture.Write("configurations/a", "1", Revision(0), "mine");
  AssertFails(ErrorCode::Closed, "platform.write", lost.error());
  const auto object = fixture.Read("configurations/a");
  cr_assert(object.value().m_operation == OperationId("mine"));
  cr_assert_eq(
    fixture.m_standin->Counts().m_writes, 1, "the write was sent again");
}

Test(PlatformSession, RefusedConnectionIsUnreachableThenRecovers)
{
  Fixture fixture;
  fixture.Put("configurations/a", "1");
  fixture.SetFaults({ .m_outage = Outage::Refuse });
  AssertFails(ErrorCode::Unreachable,
              "platform.read",
              fixture.Read("configurations/a").error());
  fixture.SetFaults({});
  cr_assert(fixture.Read("configurations/a").has_value());
}

Test(PlatformSession, OutageByStatusIsUnavailable)
{
  Fixture fixture;
  fixture.SetFaults({ .m_outage = Outage::Error });
  AssertFails(ErrorCode::Unavailable,
              "platform.list",
              fixture.List("templates/").error());
}

Test(PlatformSession, SlowAnswerTimesOutAndDoesNotReachTheNextCall)
{
  Fixture fixture(ShortTimeouts());
  fixture.Put("configurations/a", "1");
  fixture.Put("configurations/b", "2");
  fixture.SetFaults({ .m_slowness = std::chrono::milliseconds(400) });
  AssertFails(ErrorCode::Timeout,
              "platform.read",
              fixture.Read("configurations/a").error());
  fixture.SetFaults({});
  cr_assert_eq(fixture.Read("configurations/b").value().m_document.m_body, "2");
}

Test(PlatformSession, DropWatchesClosesIdleConnections)
{
  boost::asio::io_context context(1);
  boost::asio::ip::tcp::acceptor acceptor(context);
  cr_assert(
    Listen(acceptor, { .m_address = kAnyPort, .m_step = "test" }).has_value());
  boost::asio::co_spawn(context,
                        AnswerOnceOnEachConnection(acceptor, context),
                        boost::asio::detached);
  PlatformSettings settings;
  settings.m_address = AddressOf(acceptor.local_endpoint());
  const auto platform = PlatformSession::Create(context, settings).value();
  cr_assert(ListIsAnswered(context, *platform));
  platform->DropWatches();
  cr_assert(ListIsAnswered(context, *platform));
}

Test(PlatformSession, AnUnresponsivePlatformTimesOutInTimeForARetry)
{
  Fixture fixture;
  fixture.SetFaults({ .m_slowness = std::chrono::seconds(5) });
  const auto start = std::chrono::steady_clock::now();
  AssertFails(ErrorCode::Timeout,
              "platform.list",
              fixture.List("configurations/").error());
  cr_assert_lt(std::chrono::steady_clock::now() - start,
               std::chrono::milliseconds(1300));
}

Test(PlatformSession, StaleReadsReturnTheFormerState)
{
  Fixture fixture;
  fixture.Put("configurations/a", "1");
  fixture.SetFaults({ .m_staleness = std::chrono::hours(1) });
  AssertFails(ErrorCode::NotFound,
              "platform.read",
              fixture.Read("configurations/a").error());
  cr_assert(fixture.List("configurations/").value().m_objects.empty());
}

Test(PlatformSession, RateLimitIsUnavailableAndCounted)
{
  Fixture fixture;
  fixture.SetFaults({ .m_writesPerSecond = 1 });
  cr_assert(fixture.Write("configurations/a", "1").has_value());
  AssertFails(ErrorCode::Unavailable,
              "platform.write",
              fixture.Write("configurations/a", "2").error());
  cr_assert_eq(fixture.m_standin->Counts().m_limited, 1);
  cr_assert_eq(fixture.m_counters->m_failures, 1);
}

Test(PlatformSession, BodyAtTheBoundIsAcceptedAndOverItRefused)
{
  Fixture fixture;
  const std::string largest(kMaxObjectBody.Value(), 'x');
  cr_assert(fixture.Write("configurations/a", largest).has_value());
  cr_assert(fixture.Read("configurations/a").value().m_document.m_body ==
            largest);
  AssertFails(ErrorCode::TooLarge,
              "platform.write",
              fixture.Write("configurations/a", largest + "x").error());
}

Test(PlatformSession, InvalidAnswersAreMalformed)
{
  const char* const bodies[] = {
    "",
    "{",
    "[]",
    R"({"key": 1, "revision": 1, "operation": "", "body": ""})",
    R"({"key": "configurations/a", "revision": -1, "operation": "", "body": ""})",
    R"({"key": "configurations/a", "revision": 1.5, "operation": "", "body": ""})",
    R"({"key": "configurations/a", "revision": 1, "operation": ""})",
    // A valid object, but with another key.
    R"({"key": "configurations/b", "revision": 1, "operation": "",
        "body": ""})",
  };
  Fixture fixture;
  std::string body;
  const auto server = FaultyHttpServer::Listen(
    fixture.m_context,
    { .m_address = kAnyPort },
    [&body](const FaultyHttpServer::Exchange& aExchange) {
      aExchange->Answer({ 200, {}, body });
    });
  PlatformSettings settings;
  settings.m_address = server.value()->Address();
  fixture.m_platform =
    std::move(PlatformSession::Create(fixture.m_context, settings).value());
  for (const char* text : bodies) {
    body = text;
    AssertFails(ErrorCode::Malformed,
                "platform.read.decode",
                fixture.Read("configurations/a").error());
  }
}

Test(PlatformSession, TruncatedAnswerIsClosed)
{
  Fixture fixture;
  const auto server =
    FaultyHttpServer::Listen(fixture.m_context,
                             { .m_address = kAnyPort },
                             [](const FaultyHttpServer::Exchange& aExchange) {
                               aExchange->AnswerCut({ 200, {}, "{}" }, 1);
                             });
  PlatformSettings settings;
  settings.m_address = server.value()->Address();
  fixture.m_platform =
    std::move(PlatformSession::Create(fixture.m_context, settings).value());
  AssertFails(ErrorCode::Closed,
              "platform.read.receive",
              fixture.Read("configurations/a").error());
}

Test(PlatformSession, BadSettingsAreRefused)
{
  boost::asio::io_context context;
  const auto session = PlatformSession::Create(context, {});
  cr_assert(session.error().Code() == ErrorCode::InvalidArgument);
}

} // namespace tarragontray
