#include <functional>

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

#include "connection/PlatformSession.h"
#include "process/ControlCore.h"
#include "process/PlatformLoop.h"
#include "programs/StandinPlatform.h"
#include "version/ConfigurationJson.h"
#include "version/ObjectKeys.h"

namespace tarragontray {

namespace {

using namespace std::chrono_literals;

constexpr NetworkAddress kAnyPort(0x7F000001, 0);
/// The time within which a change must be in force.
constexpr Duration kPropagationBound = 4s;
const ObjectKey kKey = ConfigurationKey(ClientAccountId("a"));

/// A node that watches a stand-in platform over HTTP.
class RestoredPlatform
{
public:
  /// \param aRestores how often the platform is restored before the node
  /// starts.
  explicit RestoredPlatform(int aRestores = 0)
    : m_random(1)
  {
    StandinPlatformSettings standin;
    standin.m_address = kAnyPort;
    standin.m_adminAddress = kAnyPort;
    m_standin = StandinPlatform::Create(m_context, m_clock, standin).value();
    m_writer = MakeSession();
    for (int i = 0; i < aRestores; ++i) {
      Write("copy");
      m_standin->Restore(Duration(0));
    }
    ControlSettings control;
    control.m_self.m_vm = VmId("vm-1");
    control.m_self.m_dataCentre = DataCentreId("dc");
    control.m_self.m_peerAddress = NetworkAddress(0x7F000001, 7000);
    control.m_gossip.m_membership.m_relaySettleTime = Duration(0);
    control.m_gossip.m_distribution.m_defersUntilSpread = false;
    m_core = ControlCore::Create(control, m_decoder, m_random).value();
    std::vector<std::unique_ptr<Platform>> platforms;
    platforms.push_back(MakeSession());
    m_loop =
      PlatformLoop::Create(m_context,
                           {},
                           std::move(platforms),
                           m_clock,
                           *m_core,
                           m_random,
                           [this](const ControlActions&) { m_loop->Check(); })
        .value();
    m_core->OnTick(Now());
    m_loop->Check();
  }

  Times Now() const { return { m_clock.Now(), m_clock.WallNow() }; }

  void Write(const std::string& aBody, std::uint64_t aVersion = 0)
  {
    bool isWritten = false;
    m_writer->Write({ kKey,
                      aBody,
                      std::nullopt,
                      OperationId(aBody),
                      WriterVersion(aVersion) },
                    [&](const Result<Revision>& aRevision) {
                      isWritten = aRevision.has_value();
                    });
    RunUntil([&] { return isWritten; });
  }
  bool MayServe() const { return !m_core->Status(Now().m_wall).m_isBelowFloor; }
  /// Delivers a peer's answer to a pull.
  void AnswerPull() { m_core->OnPullAnswer({}, Now()); }
  void Tick() { m_core->OnTick(Now()); }
  /// The body of the node's document, as a peer would pull it.
  std::string Held()
  {
    PullRequest request;
    request.m_from = VmId("vm-2");
    request.m_documents.emplace().fill(1);
    const PullAnswer answer = m_core->OnPull(request, Now());
    return answer.m_documents.empty() ? "" : answer.m_documents.front().m_body;
  }
  bool Takes(const std::string& aBody)
  {
    return RunUntil([&] { return Held() == aBody; });
  }
  bool RunUntil(const std::function<bool()>& aDone)
  {
    const auto limit = std::chrono::steady_clock::now() + kPropagationBound;
    while (!aDone() && std::chrono::steady_clock::now() < limit) {
      m_context.restart();
      m_context.run_one_for(10ms);
    }
    return aDone();
  }
  /// Makes the writes before this call older than those after it.
  void Pause()
  {
    m_context.restart();
    m_context.run_for(100ms);
  }

  boost::asio::io_context m_context{ 1 };
  SystemClock m_clock;
  std::unique_ptr<StandinPlatform> m_standin;

private:
  std::unique_ptr<Platform> MakeSession()
  {
    return PlatformSession::Create(m_context,
                                   { .m_address = m_standin->Address() })
      .value();
  }

  SeededRandom m_random;
  JsonConfigurationDecoder m_decoder;
  std::unique_ptr<Platform> m_writer;
  std::unique_ptr<ControlCore> m_core;
  std::unique_ptr<PlatformLoop> m_loop;
};

} // namespace

Test(RestoredPlatform, AChangeWhoseRevisionWasGivenOutBeforeIsNotTaken)
{
  RestoredPlatform test;
  test.Write("1");
  test.Pause();
  test.Write("2");
  cr_assert(test.Takes("2"));
  test.m_standin->Restore(50ms);
  test.Write("3");
  cr_assert(test.Takes("3"), "holds %s", test.Held().c_str());
}

Test(RestoredPlatform, TheCopyReplacesANewerAcknowledgedVersion)
{
  RestoredPlatform test;
  test.Write("1", 1);
  test.Pause();
  test.Write("2", 2);
  cr_assert(test.Takes("2"));
  test.m_standin->Restore(50ms);
  const std::uint64_t lists = test.m_standin->Counts().m_lists;
  cr_assert(
    test.RunUntil([&] { return test.m_standin->Counts().m_lists > lists; }));
  test.Pause();
  cr_assert_eq(test.Held(), "2");
  // The operator writes the lost version again, then the next one.
  test.Write("2", 2);
  test.Pause();
  test.Write("3", 3);
  cr_assert(test.Takes("3"), "holds %s", test.Held().c_str());
}

Test(RestoredPlatform, ASecondRestoreHidesAChange)
{
  RestoredPlatform test;
  test.Write("1", 1);
  for (int restore = 1; restore <= 3; ++restore) {
    test.Pause();
    test.Write("lost", static_cast<std::uint64_t>(restore) * 2);
    cr_assert(test.Takes("lost"));
    test.m_standin->Restore(50ms);
    const std::string body = "kept " + std::to_string(restore);
    test.Write(body, static_cast<std::uint64_t>(restore) * 2 + 1);
    cr_assert(test.Takes(body), "holds %s", test.Held().c_str());
  }
}

Test(RestoredPlatform, ANodeThatStartsServesTheCopyBeforeItHearsAPeer)
{
  RestoredPlatform test(2);
  cr_assert(test.Takes("copy"));
  cr_assert(!test.MayServe());
  test.AnswerPull();
  cr_assert(test.MayServe());
}

Test(RestoredPlatform, ANodeWithoutPeersWaitsForThemForever)
{
  RestoredPlatform test(2);
  cr_assert(test.Takes("copy"));
  cr_assert(test.RunUntil([&] {
    test.Tick();
    return test.MayServe();
  }));
}

Test(RestoredPlatform, ANodeWaitsForPeersAlthoughThePlatformLostNothing)
{
  RestoredPlatform test;
  test.Write("only");
  cr_assert(test.Takes("only"));
  cr_assert(test.MayServe());
}

} // namespace tarragontray
