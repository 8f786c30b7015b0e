#include "process/PlatformLoop.h"

#include <algorithm>
#include <string>
#include <utility>

#include "process/Log.h"
#include "process/StatusJson.h"

namespace tarragontray {

namespace {

constexpr char kPart[] = "platform";
constexpr char kConfigurations[] = "configurations/";
/// How long one watch waits for changes.
constexpr Duration kWatchWait = std::chrono::seconds(25);
constexpr Duration kFirstRetry = std::chrono::milliseconds(200);
constexpr std::uint32_t kMaxDoublings = 5;

std::vector<Document>
DocumentsOf(const PlatformListing& aListing)
{
  std::vector<Document> documents;
  documents.reserve(aListing.m_objects.size());
  for (const PlatformObject& object : aListing.m_objects) {
    documents.push_back(object.m_document);
  }
  return documents;
}

} // namespace

Result<std::unique_ptr<PlatformLoop>>
PlatformLoop::Create(boost::asio::io_context& aContext,
                     const std::vector<NetworkAddress>& aAddresses,
                     const Clock& aClock,
                     ControlCore& aCore,
                     Random& aRandom,
                     Handle aHandle)
{
  std::unique_ptr<PlatformLoop> loop(
    new PlatformLoop(aContext, aClock, aCore, aRandom, std::move(aHandle)));
  for (const NetworkAddress& address : aAddresses) {
    PlatformSettings settings;
    settings.m_address = address;
    settings.m_counters = loop->m_counters;
    BOOST_OUTCOME_TRY(auto platform,
                      PlatformSession::Create(aContext, std::move(settings)));
    loop->m_platforms.push_back(std::move(platform));
  }
  if (loop->m_platforms.empty()) {
    return Error(
      ErrorCode::InvalidArgument, "platform.create", "", "no address");
  }
  return loop;
}

PlatformLoop::PlatformLoop(boost::asio::io_context& aContext,
                           const Clock& aClock,
                           ControlCore& aCore,
                           Random& aRandom,
                           Handle aHandle)
  : m_clock(aClock)
  , m_core(aCore)
  , m_random(aRandom)
  , m_handle(std::move(aHandle))
  , m_retry(aContext)
  , m_counters(std::make_shared<PlatformCounters>())
{
}

void
PlatformLoop::Check()
{
  const MonotonicTime now = m_clock.Now();
  if (now < m_notBefore) {
    CheckAt(m_notBefore);
    return;
  }
  if (!m_isWatching && m_core.WantsWatch(now)) {
    if (m_core.TakePlatformRead(now)) {
      Watch();
    } else {
      CheckAt(m_core.PlatformReadyAt(now));
    }
  }
  ReadTemplates();
}

void
PlatformLoop::Watch()
{
  m_isWatching = true;
  const auto done = [this](const Result<PlatformListing>& aListing) {
    m_isWatching = false;
    OnListing(aListing);
  };
  const Revision after = m_core.WatchAfter();
  if (after == Revision(0)) {
    Current().List(kConfigurations, done);
  } else {
    Current().Watch(kConfigurations, after, kWatchWait, done);
  }
}

void
PlatformLoop::OnListing(const Result<PlatformListing>& aListing)
{
  if (!aListing) {
    Fail(aListing.error());
    return;
  }
  m_failures = 0;
  m_handle(m_core.OnListing(
    DocumentsOf(aListing.value()), aListing.value().m_revision, Now()));
}

void
PlatformLoop::ReadTemplates()
{
  const MonotonicTime now = m_clock.Now();
  if (!m_core.WantsWatch(now)) {
    return;
  }
  for (const ObjectKey& key : m_core.MissingTemplates()) {
    if (m_reading.contains(key)) {
      continue;
    }
    if (!m_core.TakePlatformRead(now)) {
      CheckAt(m_core.PlatformReadyAt(now));
      return;
    }
    m_reading.insert(key);
    Current().Read(key, [this, key](const Result<PlatformObject>& aObject) {
      m_reading.erase(key);
      if (!aObject) {
        Fail(aObject.error());
        return;
      }
      m_failures = 0;
      m_handle(m_core.OnListing(
        { aObject.value().m_document }, m_core.WatchAfter(), Now()));
    });
  }
}

void
PlatformLoop::CheckAt(MonotonicTime aTime)
{
  if (m_isRetryPending) {
    return;
  }
  m_isRetryPending = true;
  m_retry.expires_after(std::max(aTime - m_clock.Now(), Duration(0)));
  m_retry.async_wait([this](const auto& aError) {
    if (!aError) {
      m_isRetryPending = false;
      Check();
    }
  });
}

void
PlatformLoop::Fail(const Error& aError)
{
  Log(m_failures == 0 ? LogLevel::Warning : LogLevel::Debug,
      kPart,
      "Platform call failed.",
      aError);
  m_current = (m_current + 1) % m_platforms.size();
  const Duration longest =
    kFirstRetry * (1U << std::min(m_failures, kMaxDoublings));
  const Duration wait =
    std::chrono::duration_cast<Duration>(longest * m_random.Fraction());
  ++m_failures;
  m_notBefore = m_clock.Now() + wait;
  CheckAt(m_notBefore);
}

void
PlatformLoop::Write(const std::vector<MoveOutcome>& aOutcomes,
                    const std::vector<UsageReport>& aUsage)
{
  for (const MoveOutcome& outcome : aOutcomes) {
    WriteOutcome(outcome);
  }
  for (const UsageReport& report : aUsage) {
    WriteUsage(report);
  }
}

void
PlatformLoop::WriteOutcome(const MoveOutcome& aOutcome)
{
  const MoveId move = aOutcome.m_move;
  PlatformWrite write;
  write.m_key = ObjectKey("moves/" + move.m_service.m_owner.Value() + "/" +
                          move.m_service.m_name.Value() + "/" +
                          std::to_string(move.m_plan.Value()));
  write.m_body = OutcomeJson(aOutcome);
  write.m_expected = Revision(0);
  write.m_operation = OperationId("outcome-" + std::to_string(++m_operations));
  Current().Write(
    std::move(write), [this, move](const Result<Revision>& aRevision) {
      // A conflict means that another steward's outcome is there already.
      if (aRevision || aRevision.error().Code() == ErrorCode::Conflict) {
        m_core.OnOutcomeWritten(move);
        Log(LogLevel::Info,
            "move",
            "Outcome written.",
            { { "service", move.m_service.m_name.Value() },
              { "plan", std::to_string(move.m_plan.Value()) } });
      } else {
        Log(
          LogLevel::Warning, "move", "Outcome not written.", aRevision.error());
      }
    });
}

void
PlatformLoop::WriteUsage(const UsageReport& aReport)
{
  PlatformWrite write;
  write.m_key = ObjectKey("ledger/" + aReport.m_vm.Value() + "/" +
                          std::to_string(aReport.m_incarnation.Value()));
  write.m_body = UsageJson(aReport);
  write.m_operation = OperationId("ledger-" + std::to_string(++m_operations));
  Current().Write(std::move(write),
                  [this, aReport](const Result<Revision>& aRevision) {
                    if (!aRevision) {
                      m_core.OnUsageNotWritten(aReport);
                    }
                  });
}

PlatformTraffic
PlatformLoop::Traffic() const
{
  return { CallCount(m_counters->m_reads + m_counters->m_lists +
                     m_counters->m_writes + m_counters->m_watches) };
}

} // namespace tarragontray
