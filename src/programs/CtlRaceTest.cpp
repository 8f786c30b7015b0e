#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include <boost/json.hpp>
#include <criterion/criterion.h>

#include "programs/CtlChange.h"
#include "programs/CtlTestFixture.h"
#include "version/ConfigurationJson.h"

namespace tarragontray {

namespace {

namespace json = boost::json;

constexpr std::size_t kOperators = 4;
constexpr std::size_t kChanges = 5;

/// The versions reported to the operators as applied, by operation id.
class AppliedVersions
{
public:
  void Add(const CtlOutput& aOutput)
  {
    const json::value applied = json::parse(aOutput.m_json);
    const std::lock_guard lock(m_mutex);
    m_versions[std::string(applied.at("operation").as_string())] =
      applied.at("version").to_number<std::uint64_t>();
  }

  const std::map<std::string, std::uint64_t>& Versions() const
  {
    return m_versions;
  }

private:
  std::mutex m_mutex;
  std::map<std::string, std::uint64_t> m_versions;
};

/// Applies changes until kChanges of them succeeded. Each change is based on
/// the version that is current at its review.
void
ApplyChanges(const CtlTestEnvironment& aEnvironment,
             std::size_t aOperator,
             AppliedVersions& aApplied)
{
  const auto session =
    CtlSession::Create({ .m_platform = aEnvironment.Platform() });
  for (std::size_t done = 0; done < kChanges;) {
    const std::string text =
      ParametersText(static_cast<std::int64_t>(200 + 10 * aOperator + done));
    const auto review =
      ReviewChange(*session.value(), DecodeParameters(text).value());
    cr_assert(review.has_value(), "%s", review.error().Message().c_str());
    const auto output =
      ApplyChange(*session.value(), review.value(), std::nullopt);
    cr_assert(output.has_value(), "%s", output.error().Message().c_str());
    if (output.value().m_exitStatus == kExitDone) {
      aApplied.Add(output.value());
      ++done;
    }
  }
}

/// A session that runs another operator's change before its first write.
class RacingSession final : public CtlSession
{
public:
  RacingSession(CtlSession& aInner, std::function<void()> aBeforeFirstWrite)
    : m_inner(aInner)
    , m_beforeFirstWrite(std::move(aBeforeFirstWrite))
  {
  }

  Result<PlatformObject> Read(const ObjectKey& aKey) override
  {
    return m_inner.Read(aKey);
  }
  Result<std::optional<PlatformObject>> Find(const ObjectKey& aKey) override
  {
    return m_inner.Find(aKey);
  }
  Result<PlatformListing> List(const std::string& aPrefix) override
  {
    return m_inner.List(aPrefix);
  }
  WriteReport Write(PlatformWrite aWrite) override
  {
    if (m_beforeFirstWrite) {
      std::exchange(m_beforeFirstWrite, nullptr)();
    }
    return m_inner.Write(std::move(aWrite));
  }
  Result<std::string> NodeStatus(const NetworkAddress& aNode) override
  {
    return m_inner.NodeStatus(aNode);
  }
  const std::vector<NetworkAddress>& Nodes() const override
  {
    return m_inner.Nodes();
  }
  OperationId NewOperation() override { return m_inner.NewOperation(); }
  WallTime Now() const override { return m_inner.Now(); }
  void Wait(Duration aTime) override { m_inner.Wait(aTime); }

private:
  CtlSession& m_inner;
  std::function<void()> m_beforeFirstWrite;
};

} // namespace

// Another operator applies two changes between the review and the write. The
// write loses the race and must not replace the history entries of the other
// versions.
Test(CtlRace, ALostRaceKeepsTheHistoryOfOtherOperators)
{
  const CtlTestEnvironment environment;
  const CommandLine ctl(environment);
  WriteInitialConfiguration(ctl);
  const auto inner =
    CtlSession::Create({ .m_platform = environment.Platform() });
  RacingSession session(*inner.value(), [&] {
    ctl.RunSuccessfully(
      { "config", "apply", TemporaryFile(ParametersText(102)).Path() });
    ctl.RunSuccessfully(
      { "config", "apply", TemporaryFile(ParametersText(103)).Path() });
  });
  const auto review =
    ReviewChange(session, DecodeParameters(ParametersText(104)).value());
  const auto lost = ApplyChange(session, review.value(), std::nullopt);
  cr_assert(lost.value().m_exitStatus == kExitLostRace);
  for (const char* version : { "2", "4" }) {
    ctl.RunSuccessfully({ "config", "get", "mesqel-gate" },
                        { std::string("--revision=") + version });
  }
}

// Operators apply changes at the same time while the platform loses answers.
// The history must hold each applied change exactly once, under the version
// that its operator was given.
Test(CtlRace, NoChangeOfRacingOperatorsIsLostOrAppliedTwice, .timeout = 60)
{
  CtlTestEnvironment environment;
  const CommandLine ctl(environment);
  WriteInitialConfiguration(ctl);
  PlatformFaults faults;
  faults.m_lostAnswers = 10;
  environment.SetFaults(faults);
  AppliedVersions applied;
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < kOperators; ++i) {
    threads.emplace_back([&, i] { ApplyChanges(environment, i, applied); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::map<std::string, std::uint64_t> kept;
  const CtlOutput history =
    ctl.RunSuccessfully({ "config", "history", "mesqel-gate" });
  const json::value entries = json::parse(history.m_json);
  for (const json::value& entry : entries.as_array()) {
    const std::string operation(entry.at("operation").as_string());
    cr_assert(!kept.contains(operation), "%s twice", operation.c_str());
    kept[operation] = entry.at("version").to_number<std::uint64_t>();
  }
  cr_assert(kept.size() >= kOperators * kChanges);
  for (const auto& [operation, version] : applied.Versions()) {
    cr_assert(kept.contains(operation) && kept.at(operation) == version,
              "%s is lost",
              operation.c_str());
  }
}

} // namespace tarragontray
