#include "programs/StandinPlatform.h"

#include <chrono>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

#include "base/Clock.h"
#include "connection/HttpClient.h"

namespace tarragontray {

namespace {

constexpr NetworkAddress kAnyPort(0x7F000001, 0);
constexpr auto kTestLimit = std::chrono::seconds(20);

/// A platform stand-in and a client of its admin port.
class Fixture
{
public:
  Fixture()
  {
    StandinPlatformSettings settings;
    settings.m_address = kAnyPort;
    settings.m_adminAddress = kAnyPort;
    auto created = StandinPlatform::Create(m_context, m_clock, settings);
    cr_assert(created.has_value());
    m_platform = std::move(created.value());
    m_admin =
      HttpClient::Create(m_context, { .m_peer = m_platform->AdminAddress() });
  }

  HttpAnswerParts Call(const std::string& aMethod,
                       const std::string& aTarget,
                       const std::string& aBody = "")
  {
    std::optional<Result<HttpAnswerParts>> ended;
    m_admin->Send({ { aMethod, aTarget, {}, aBody }, "test", kTestLimit },
                  [&ended](Result<HttpAnswerParts> aAnswer) {
                    ended = std::move(aAnswer);
                  });
    const auto limit = std::chrono::steady_clock::now() + kTestLimit;
    while (!ended) {
      cr_assert(std::chrono::steady_clock::now() < limit,
                "the call did not end within 20 s");
      m_context.run_one_until(limit);
    }
    cr_assert(ended->has_value());
    return ended->value();
  }

  SystemClock m_clock;
  boost::asio::io_context m_context;
  std::unique_ptr<StandinPlatform> m_platform;
  std::unique_ptr<HttpClient> m_admin;
};

} // namespace

Test(StandinPlatform, AdminPortSetsOnlyTheNamedFaults)
{
  Fixture fixture;
  const std::string both = R"({"slow_ms": 30, "silent_watches": true})";
  cr_assert_eq(fixture.Call("POST", "/faults", both).m_status, 200);
  const std::string next = R"({"down": "error", "slow_ms": 0})";
  cr_assert_eq(fixture.Call("POST", "/faults", next).m_status, 200);
  const PlatformFaults& faults = fixture.m_platform->Faults();
  cr_assert(faults.m_outage == Outage::Error);
  cr_assert(faults.m_slowness == Duration::zero());
  cr_assert(faults.m_areWatchesSilent);
  cr_assert(
    fixture.Call("GET", "/faults").m_body.find(R"("silent_watches":true)") !=
    std::string::npos);
}

Test(StandinPlatform, AdminPortRejectsInvalidFaultsAndUnknownPaths)
{
  Fixture fixture;
  for (const char* body : { "",
                            "[]",
                            R"({"down": "maybe"})",
                            R"({"slow_ms": -1})",
                            R"({"lose_answers": "1"})",
                            R"({"colour": 1})" }) {
    cr_assert_eq(fixture.Call("POST", "/faults", body).m_status, 400);
  }
  cr_assert_eq(fixture.Call("GET", "/other").m_status, 404);
  cr_assert(fixture.m_platform->Faults().m_outage == Outage::None);
}

Test(StandinPlatform, AdminPortReportsCounts)
{
  Fixture fixture;
  const std::string counts = fixture.Call("GET", "/counts").m_body;
  cr_assert_eq(counts,
               R"({"reads":0,"lists":0,"writes":0,"watches":0,)"
               R"("conflicts":0,"limited":0,"malformed":0})");
}

Test(StandinPlatformStore, KeepsFormerVersionsForStaleReads)
{
  ManualClock clock;
  StandinPlatformStore store;
  const ObjectKey key("configurations/a");
  const auto first =
    store.Write({ key, "1", std::nullopt, OperationId("x") }, clock.Now());
  clock.Advance(std::chrono::seconds(10));
  store.Write({ key, "2", std::nullopt, OperationId("y") }, clock.Now());
  const MonotonicTime before = clock.Now() - std::chrono::seconds(1);
  cr_assert_eq(store.Read(key, before)->m_document.m_body, "1");
  cr_assert(store.List("configurations/", before).m_revision ==
            first.m_revision);
  cr_assert_eq(store.Read(key, clock.Now())->m_document.m_body, "2");
}

} // namespace tarragontray
