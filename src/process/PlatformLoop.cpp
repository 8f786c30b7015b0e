#include "process/PlatformLoop.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "process/Log.h"
#include "process/StatusJson.h"
#include "version/ObjectKeys.h"

namespace tarragontray {

namespace {

constexpr char kPart[] = "platform";
/// Wait of the first watch after a failure.
constexpr Duration kWaitAfterFailure = std::chrono::seconds(1);
constexpr Duration kFirstRetry = std::chrono::milliseconds(200);
/// Limits the back-off to 0.8 s. Together with one call that times out
/// (PlatformSettings::m_timeout), a new connection and the answer, the node
/// reads a recovered platform within 3 s.
constexpr std::uint32_t kMaxDoublings = 2;
/// Takes 0.2 s over 10 Mbit/s, the lowest bandwidth of a VM.
constexpr ByteCount kMaxReplacedBytes{ 256U << 10U };

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

ListingExtent
ExtentOf(const PlatformListing& aListing)
{
  return aListing.m_isPartial ? ListingExtent::Partial : ListingExtent::Whole;
}

/// Whether a watch's answer holds more than kMaxReplacedBytes of bodies that
/// later versions in the same answer replace, which means that changes come
/// faster than this node receives them.
bool
IsMostlyHistory(const PlatformListing& aListing)
{
  std::map<ObjectKey, std::size_t> newest;
  std::size_t replaced = 0;
  for (const PlatformObject& object : aListing.m_objects) {
    const Document& document = object.m_document;
    const auto [held, isNew] =
      newest.try_emplace(document.m_key, document.m_body.size());
    if (!isNew) {
      replaced += std::exchange(held->second, document.m_body.size());
    }
  }
  return replaced > kMaxReplacedBytes.Value();
}

} // namespace

Result<std::unique_ptr<PlatformLoop>>
PlatformLoop::Create(boost::asio::io_context& aContext,
                     PlatformLoopSettings aSettings,
                     std::vector<std::unique_ptr<Platform>> aPlatforms,
                     const Clock& aClock,
                     ControlCore& aCore,
                     Random& aRandom,
                     Handle aHandle,
                     OnConfirmed aOnConfirmed)
{
  if (aPlatforms.empty()) {
    return Error(
      ErrorCode::InvalidArgument, "platform.create", "", "no address");
  }
  std::unique_ptr<PlatformLoop> loop(new PlatformLoop(aContext,
                                                      std::move(aSettings),
                                                      aClock,
                                                      aCore,
                                                      aRandom,
                                                      std::move(aHandle),
                                                      std::move(aOnConfirmed)));
  loop->m_platforms = std::move(aPlatforms);
  return loop;
}

PlatformLoop::PlatformLoop(boost::asio::io_context& aContext,
                           PlatformLoopSettings aSettings,
                           const Clock& aClock,
                           ControlCore& aCore,
                           Random& aRandom,
                           Handle aHandle,
                           OnConfirmed aOnConfirmed)
  : m_clock(aClock)
  , m_core(aCore)
  , m_random(aRandom)
  , m_handle(std::move(aHandle))
  , m_onConfirmed(std::move(aOnConfirmed))
  , m_retry(aContext)
  , m_settings(std::move(aSettings))
  , m_wait(m_settings.m_watchWait)
{
  for (const WatchedPrefix& watched : m_settings.m_prefixes) {
    m_prefixes.emplace_back().m_watched = watched;
  }
}

void
PlatformLoop::Check()
{
  const MonotonicTime now = m_clock.Now();
  if (now < m_notBefore) {
    CheckAt(m_notBefore);
    return;
  }
  Register();
  for (Prefix& prefix : m_prefixes) {
    CheckForStall(prefix, now);
    if (!prefix.m_running && m_core.WantsWatch(now, prefix.m_watched)) {
      if (now < prefix.m_notBefore) {
        CheckAt(prefix.m_notBefore);
      } else if (m_core.TakePlatformRead(now)) {
        StartCall(prefix);
      } else {
        CheckAt(m_core.PlatformReadyAt(now));
      }
    }
  }
  ReadTemplates();
  CheckRevision(now);
}

void
PlatformLoop::StartCall(Prefix& aPrefix)
{
  const std::string& keys = aPrefix.m_watched.m_keys;
  const Revision after = m_core.WatchAfter(keys);
  const bool mustList = after == Revision(0) || aPrefix.m_mustList;
  const PrefixCall call{ mustList ? DocumentChannel::List
                                  : DocumentChannel::Watch,
                         after,
                         m_clock.Now() };
  const auto done =
    [this, &aPrefix, call](const Result<PlatformListing>& aListing) {
      aPrefix.m_running.reset();
      OnListing(aPrefix, call, aListing);
    };
  aPrefix.m_running = call.m_channel;
  if (mustList) {
    Current().List(keys, done);
  } else {
    Current().Watch(keys, after, m_wait, done);
  }
}

void
PlatformLoop::OnListing(Prefix& aPrefix,
                        const PrefixCall& aCall,
                        const Result<PlatformListing>& aListing)
{
  const std::string& keys = aPrefix.m_watched.m_keys;
  if (!aListing && aListing.error().Code() == ErrorCode::HistoryGone) {
    Log(LogLevel::Info,
        kPart,
        "Watch history expired.",
        { { "prefix", keys },
          { "after", std::to_string(m_core.WatchAfter(keys).Value()) } });
    m_core.OnHistoryGone(keys);
    RestartWatches();
    Check();
    return;
  }
  if (!aListing) {
    aPrefix.m_mustList = true;
    // RestartWatches() must run before OnFailure(), which changes Current().
    RestartWatches();
    OnFailure(aListing.error());
    return;
  }
  OnSuccess();
  if (aCall.m_channel == DocumentChannel::Watch) {
    m_wait = std::min(m_wait * 2, m_settings.m_watchWait);
  }
  aPrefix.m_mustList = IsMostlyHistory(aListing.value());
  aPrefix.m_stallTimeout = kMinStallTimeout;
  if (!aListing.value().m_objects.empty()) {
    aPrefix.m_notBefore = m_clock.Now() + m_settings.m_watchRest;
  }
  LogListing(aPrefix, aCall, aListing.value());
  NoteEra(aListing.value().m_revision);
  m_handle(m_core.OnListing(DocumentsOf(aListing.value()),
                            aListing.value().m_revision,
                            Now(),
                            keys,
                            aCall.m_channel,
                            ExtentOf(aListing.value())));
}

void
PlatformLoop::LogListing(const Prefix& aPrefix,
                         const PrefixCall& aCall,
                         const PlatformListing& aListing) const
{
  std::size_t bytes = 0;
  for (const PlatformObject& object : aListing.m_objects) {
    bytes += object.m_document.m_body.size();
  }
  // A watch that ends without changes is logged at debug level only.
  Log(aListing.m_objects.empty() ? LogLevel::Debug : LogLevel::Info,
      kPart,
      "Listing.",
      { { "prefix", aPrefix.m_watched.m_keys },
        { "call", std::string(Name(aCall.m_channel)) },
        { "after", std::to_string(aCall.m_after.Value()) },
        { "revision", std::to_string(aListing.m_revision.Value()) },
        { "objects", std::to_string(aListing.m_objects.size()) },
        { "bytes", std::to_string(bytes) },
        { "took_ms", Milliseconds(m_clock.Now() - aCall.m_startedAt) } });
}

void
PlatformLoop::RestartWatches()
{
  // The failure of one watch may affect the others without an error, so restart
  // them all.
  m_wait = std::min(kWaitAfterFailure, m_settings.m_watchWait);
  Current().DropWatches();
  for (Prefix& prefix : m_prefixes) {
    if (prefix.m_running == DocumentChannel::Watch) {
      prefix.m_running.reset();
      prefix.m_mustList = true;
    }
    prefix.m_overtakenAt.reset();
  }
}

void
PlatformLoop::CheckRevisionNow()
{
  m_isCheckRequested = true;
  Check();
}

void
PlatformLoop::CheckRevision(MonotonicTime aNow)
{
  const bool isListing = std::any_of(
    m_prefixes.begin(), m_prefixes.end(), [](const Prefix& aPrefix) {
      return aPrefix.m_running == DocumentChannel::List;
    });
  if (m_checkCalls > 0 || isListing) {
    return;
  }
  const MonotonicTime due =
    m_isCheckRequested ? aNow : m_core.NextRevisionCheck(aNow);
  if (due == MonotonicTime::max()) {
    return;
  }
  if (aNow < due) {
    CheckAt(due);
    return;
  }
  if (!m_core.TakePlatformRead(aNow)) {
    CheckAt(m_core.PlatformReadyAt(aNow));
    return;
  }
  m_checkCalls = 1;
  m_isCheckRequested = false;
  const CheckTime asOf{ aNow, m_clock.BootNow() };
  Current().ReadRevision([this, asOf](const Result<Revision>& aRevision) {
    if (aRevision) {
      Log(LogLevel::Debug,
          kPart,
          "Revision read.",
          { { "revision", std::to_string(aRevision.value().Value()) } });
      ListBehind(aRevision.value(), asOf);
    }
    EndCheckCall(aRevision ? std::nullopt : std::optional(aRevision.error()),
                 asOf);
  });
}

void
PlatformLoop::ListBehind(Revision aRevision, const CheckTime& aAsOf)
{
  for (Prefix& prefix : m_prefixes) {
    const std::string& keys = prefix.m_watched.m_keys;
    if (m_core.WatchAfter(keys) >= aRevision) {
      continue;
    }
    const PrefixCall call{ DocumentChannel::List,
                           m_core.WatchAfter(keys),
                           m_clock.Now() };
    ++m_checkCalls;
    Current().List(
      keys,
      [this, &prefix, call, aAsOf](const Result<PlatformListing>& aListing) {
        if (aListing) {
          OnListedBeside(prefix, call, aListing.value());
        }
        EndCheckCall(aListing ? std::nullopt : std::optional(aListing.error()),
                     aAsOf);
      });
  }
}

void
PlatformLoop::OnListedBeside(Prefix& aPrefix,
                             const PrefixCall& aCall,
                             const PlatformListing& aListing)
{
  const std::vector<Document> documents = DocumentsOf(aListing);
  const bool hasNews = std::any_of(
    documents.begin(), documents.end(), [this](const Document& aDocument) {
      return m_core.IsNews(aDocument);
    });
  if (hasNews && aPrefix.m_running == DocumentChannel::Watch) {
    Log(LogLevel::Warning,
        kPart,
        "Watch did not report a change.",
        { { "prefix", aPrefix.m_watched.m_keys },
          { "after", std::to_string(aCall.m_after.Value()) } });
    RestartWatches();
  }
  LogListing(aPrefix, aCall, aListing);
  NoteEra(aListing.m_revision);
  m_handle(m_core.OnListing(documents,
                            aListing.m_revision,
                            Now(),
                            aPrefix.m_watched.m_keys,
                            aCall.m_channel,
                            ExtentOf(aListing)));
}

void
PlatformLoop::EndCheckCall(const std::optional<Error>& aError,
                           const CheckTime& aAsOf)
{
  --m_checkCalls;
  m_hasCheckFailed |= aError.has_value();
  if (aError) {
    // RestartWatches() must run before OnFailure(), which changes Current().
    RestartWatches();
    OnFailure(*aError);
  } else {
    OnSuccess();
  }
  if (m_checkCalls == 0 && !std::exchange(m_hasCheckFailed, false)) {
    m_handle(m_core.OnDocumentsConfirmed(aAsOf.m_monotonic, Now()));
    if (m_onConfirmed) {
      m_onConfirmed(aAsOf.m_boot);
    }
  }
}

void
PlatformLoop::CheckForStall(Prefix& aPrefix, MonotonicTime aNow)
{
  if (aPrefix.m_running != DocumentChannel::Watch ||
      !m_core.IsOvertaken(aPrefix.m_watched.m_keys)) {
    aPrefix.m_overtakenAt.reset();
    return;
  }
  const ByteCount arrived = Current().WatchedBytes();
  if (!aPrefix.m_overtakenAt || arrived != aPrefix.m_arrived) {
    aPrefix.m_overtakenAt = aNow;
    aPrefix.m_arrived = arrived;
  }
  const MonotonicTime limit = *aPrefix.m_overtakenAt + aPrefix.m_stallTimeout;
  if (aNow < limit) {
    CheckAt(limit);
    return;
  }
  const std::string& keys = aPrefix.m_watched.m_keys;
  Log(LogLevel::Warning,
      kPart,
      "Watch stalled behind peers.",
      { { "prefix", keys },
        { "after", std::to_string(m_core.WatchAfter(keys).Value()) } });
  RestartWatches();
  aPrefix.m_stallTimeout =
    std::min(aPrefix.m_stallTimeout * 2, kMaxStallTimeout);
}

void
PlatformLoop::OnSuccess()
{
  if (m_failures > 0) {
    Log(LogLevel::Info,
        kPart,
        "Platform reachable again.",
        { { "failures", std::to_string(m_failures) } });
  }
  m_failures = 0;
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
        OnFailure(aObject.error());
        return;
      }
      OnSuccess();
      m_handle(m_core.OnListing({ aObject.value().m_document },
                                Revision(0),
                                Now(),
                                {},
                                DocumentChannel::List));
    });
  }
}

void
PlatformLoop::CheckAt(MonotonicTime aTime)
{
  if (m_retryAt && *m_retryAt <= aTime) {
    return;
  }
  m_retryAt = aTime;
  m_retry.expires_after(std::max(aTime - m_clock.Now(), Duration(0)));
  m_retry.async_wait([this](const auto& aError) {
    if (!aError) {
      m_retryAt.reset();
      Check();
    }
  });
}

void
PlatformLoop::OnFailure(const Error& aError)
{
  // The back-off spaces the calls, so that this log line stays infrequent.
  Log(m_failures == 0 ? LogLevel::Warning : LogLevel::Info,
      kPart,
      "Platform call failed.",
      aError);
  m_current = (m_current + 1) % m_platforms.size();
  const Duration longest =
    kFirstRetry * (1U << std::min(m_failures, kMaxDoublings));
  // Equal jitter: half of the wait is random, which spreads the nodes' retries
  // without many more calls than a fixed wait.
  const Duration wait = std::chrono::duration_cast<Duration>(
    longest * (1 + m_random.Fraction()) / 2);
  ++m_failures;
  m_notBefore = m_clock.Now() + wait;
  CheckAt(m_notBefore);
}

void
PlatformLoop::Write(const std::vector<MoveOutcome>& aOutcomes,
                    const std::vector<UsagePage>& aUsage)
{
  for (const MoveOutcome& outcome : aOutcomes) {
    WriteOutcome(outcome);
  }
  for (const UsagePage& page : aUsage) {
    WriteUsage(page);
  }
}

void
PlatformLoop::WriteOutcome(const MoveOutcome& aOutcome)
{
  const MoveId move = aOutcome.m_move;
  const auto order = m_core.OrderRevision(move);
  PlatformWrite write;
  write.m_key = order ? OrderKey(move.m_service) : MoveKey(move);
  write.m_body = OutcomeJson(aOutcome, m_core.OrderOf(move));
  write.m_expected = order.value_or(Revision(0));
  write.m_operation = OperationId("outcome-" + std::to_string(++m_operations));
  const bool isEnd = aOutcome.m_state == MoveState::Done ||
                     aOutcome.m_state == MoveState::TakenBack;
  const std::string state(Name(aOutcome.m_state));
  Current().Write(
    std::move(write),
    [this, move, isEnd, state, isOrder = order.has_value()](
      const Result<Revision>& aRevision) {
      // A conflict on a move without an order means that another coordinator
      // wrote the outcome already. The write of an order's object is repeated
      // once its new revision has been read.
      const bool isAlreadyWritten =
        !aRevision && aRevision.error().Code() == ErrorCode::Conflict &&
        !isOrder;
      if (!aRevision && !isAlreadyWritten) {
        Log(
          LogLevel::Warning, "move", "Outcome not written.", aRevision.error());
        return;
      }
      if (isEnd) {
        m_core.OnOutcomeWritten(move);
      }
      Log(LogLevel::Info,
          "move",
          "Outcome written.",
          { { "service", move.m_service.m_name.Value() },
            { "plan", std::to_string(move.m_plan.Value()) },
            { "state", state } });
    });
}

void
PlatformLoop::WriteUsage(const UsagePage& aPage)
{
  PlatformWrite write;
  write.m_key = ObjectKey("ledger/" + aPage.m_vm.Value() + "/" +
                          std::to_string(aPage.m_incarnation.Value()) + "/" +
                          std::to_string(aPage.m_number.Value()));
  write.m_body = UsageJson(aPage);
  write.m_operation = OperationId("ledger-" + std::to_string(++m_operations));
  Current().Write(
    std::move(write),
    [this, page = aPage.m_number](const Result<Revision>& aRevision) {
      if (!aRevision) {
        m_core.OnUsageNotWritten(page);
      }
    });
}

} // namespace tarragontray
