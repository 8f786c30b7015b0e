#include "programs/StandinPlatform.h"

#include <chrono>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "programs/StandinPlatformAdmin.h"

namespace tarragontray {

namespace {

HttpAnswerParts
JsonAnswer(std::uint16_t aStatus, std::string aBody)
{
  return { aStatus,
           { { "content-type", "application/json" } },
           std::move(aBody) };
}

HttpAnswerParts
ErrorAnswer(std::uint16_t aStatus, const std::string& aText)
{
  return JsonAnswer(aStatus, R"({"error": ")" + aText + R"("})");
}

/// A rate limit with a burst of one second's calls; nullopt for a rate of 0,
/// which means no limit.
std::optional<TokenBucket>
MakeRateLimit(std::uint32_t aPerSecond)
{
  const double rate = aPerSecond;
  return aPerSecond == 0 ? std::nullopt
                         : std::optional(TokenBucket(rate, rate));
}

} // namespace

/// A watch without changes to report yet; m_timer ends its wait.
struct StandinPlatform::PendingWatch
{
  FaultyHttpServer::Exchange m_exchange;
  std::string m_prefix;
  Revision m_after;
  boost::asio::steady_timer m_timer;
};

StandinPlatform::StandinPlatform(boost::asio::io_context& aContext,
                                 const Clock& aClock)
  : m_context(aContext)
  , m_clock(aClock)
{
}

Result<std::unique_ptr<StandinPlatform>>
StandinPlatform::Create(boost::asio::io_context& aContext,
                        const Clock& aClock,
                        StandinPlatformSettings aSettings)
{
  std::unique_ptr<StandinPlatform> platform(
    new StandinPlatform(aContext, aClock));
  BOOST_OUTCOME_TRY(platform->Open(aSettings.m_address));
  StandinPlatform* self = platform.get();
  BOOST_OUTCOME_TRY(platform->m_admin,
                    FaultyHttpServer::Listen(
                      aContext,
                      { .m_address = aSettings.m_adminAddress },
                      [self](const FaultyHttpServer::Exchange& aExchange) {
                        self->OnAdminRequest(aExchange);
                      }));
  BOOST_OUTCOME_TRY(platform->SetFaults(aSettings.m_faults));
  return platform;
}

Result<void>
StandinPlatform::Open(NetworkAddress aAddress)
{
  BOOST_OUTCOME_TRY(
    m_server,
    FaultyHttpServer::Listen(m_context,
                             { .m_address = aAddress },
                             [this](FaultyHttpServer::Exchange aExchange) {
                               OnRequest(std::move(aExchange));
                             }));
  m_address = m_server->Address();
  return Success();
}

Result<void>
StandinPlatform::SetFaults(const PlatformFaults& aFaults)
{
  if (aFaults.m_readsPerSecond != m_faults.m_readsPerSecond) {
    m_readLimit = MakeRateLimit(aFaults.m_readsPerSecond);
  }
  if (aFaults.m_writesPerSecond != m_faults.m_writesPerSecond) {
    m_writeLimit = MakeRateLimit(aFaults.m_writesPerSecond);
  }
  m_faults = aFaults;
  if (aFaults.m_areWatchesSilent || aFaults.m_outage == Outage::Refuse) {
    // The watches stay unanswered; this also cancels their timers.
    m_watches.clear();
  }
  if (aFaults.m_outage == Outage::Refuse) {
    m_server.reset();
  } else if (!m_server) {
    return Open(m_address);
  }
  return Success();
}

void
StandinPlatform::Restore(Duration aAge)
{
  ++m_era;
  m_store.Restore(m_clock.Now() - aAge);
  CutWatches();
}

void
StandinPlatform::CutWatches()
{
  for (const auto& watch : std::exchange(m_watches, {})) {
    watch->m_exchange->Drop();
  }
}

void
StandinPlatform::Answer(const FaultyHttpServer::Exchange& aExchange,
                        HttpAnswerParts aAnswer) const
{
  if (m_era > 0) {
    aAnswer.m_headers.push_back({ kEraHeader, std::to_string(m_era) });
  }
  aExchange->Answer(std::move(aAnswer));
}

void
StandinPlatform::OnRequest(FaultyHttpServer::Exchange aExchange)
{
  const auto request = DecodeRequest(aExchange->Request());
  if (!request) {
    ++m_counts.m_malformed;
    Answer(aExchange, ErrorAnswer(400, "not a request of the object API"));
    return;
  }
  if (m_faults.m_outage == Outage::Error) {
    Answer(aExchange, ErrorAnswer(503, "down"));
    return;
  }
  if (!TakeToken(request->m_operation)) {
    ++m_counts.m_limited;
    Answer(aExchange, ErrorAnswer(429, "too many calls"));
    return;
  }
  if (m_faults.m_slowness == Duration::zero()) {
    Serve(aExchange, *request);
    return;
  }
  auto timer =
    std::make_shared<boost::asio::steady_timer>(m_context, m_faults.m_slowness);
  timer->async_wait([this, timer, exchange = std::move(aExchange), request](
                      const boost::system::error_code& aError) {
    if (!aError) {
      Serve(exchange, *request);
    }
  });
}

bool
StandinPlatform::TakeToken(PlatformOperation aOperation)
{
  auto& tokens =
    aOperation == PlatformOperation::Write ? m_writeLimit : m_readLimit;
  return !tokens || tokens->Take(1, m_clock.Now());
}

MonotonicTime
StandinPlatform::AsOf() const
{
  return m_clock.Now() - m_faults.m_staleness;
}

void
StandinPlatform::Serve(const FaultyHttpServer::Exchange& aExchange,
                       const PlatformRequest& aRequest)
{
  switch (aRequest.m_operation) {
    case PlatformOperation::Read:
      ServeRead(aExchange, aRequest.m_key);
      return;
    case PlatformOperation::List:
      ++m_counts.m_lists;
      Answer(aExchange,
             JsonAnswer(
               200, EncodeListing(m_store.List(aRequest.m_prefix, AsOf()))));
      return;
    case PlatformOperation::Write:
      ServeWrite(aExchange, aRequest.m_write);
      return;
    case PlatformOperation::Watch:
      ServeWatch(aExchange, aRequest);
      return;
  }
}

void
StandinPlatform::ServeRead(const FaultyHttpServer::Exchange& aExchange,
                           const ObjectKey& aKey)
{
  ++m_counts.m_reads;
  const auto object = m_store.Read(aKey, AsOf());
  Answer(aExchange,
         object ? JsonAnswer(200, EncodeObject(*object))
                : ErrorAnswer(404, "no such object"));
}

void
StandinPlatform::ServeWrite(const FaultyHttpServer::Exchange& aExchange,
                            const PlatformWrite& aWrite)
{
  ++m_counts.m_writes;
  constexpr std::size_t kMaxBodyBytes = 1U << 20U;
  if (aWrite.m_body.size() > kMaxBodyBytes) {
    Answer(aExchange, ErrorAnswer(413, "the body is over 1 MB"));
    return;
  }
  const auto result = m_store.Write(aWrite, m_clock.Now());
  if (!result.m_isWritten) {
    ++m_counts.m_conflicts;
    Answer(aExchange,
           JsonAnswer(409,
                      result.m_current ? EncodeObject(*result.m_current)
                                       : EncodeRevision(result.m_revision)));
    return;
  }
  if (m_faults.m_lostAnswers > 0) {
    --m_faults.m_lostAnswers;
    aExchange->Drop();
  } else {
    Answer(aExchange, JsonAnswer(200, EncodeRevision(result.m_revision)));
  }
  NotifyWatches();
}

void
StandinPlatform::ServeWatch(const FaultyHttpServer::Exchange& aExchange,
                            const PlatformRequest& aRequest)
{
  ++m_counts.m_watches;
  if (m_faults.m_areWatchesSilent) {
    aExchange->OnClosed([]() {});
    return;
  }
  if (aRequest.m_after > m_store.LatestRevision()) {
    Answer(aExchange, ErrorAnswer(410, "no such revision"));
    return;
  }
  const auto changes = m_store.Changes(aRequest.m_prefix, aRequest.m_after);
  if (!changes.m_objects.empty()) {
    Answer(aExchange, JsonAnswer(200, EncodeListing(changes)));
    return;
  }
  const auto watch = std::make_shared<PendingWatch>(
    PendingWatch{ aExchange,
                  aRequest.m_prefix,
                  aRequest.m_after,
                  boost::asio::steady_timer(m_context, aRequest.m_maxWait) });
  m_watches.push_back(watch);
  const std::weak_ptr<PendingWatch> weak = watch;
  aExchange->OnClosed([this, weak]() { m_watches.remove(weak.lock()); });
  watch->m_timer.async_wait(
    [this, weak](const boost::system::error_code& aError) {
      const auto self = weak.lock();
      if (aError || !self) {
        return;
      }
      m_watches.remove(self);
      PlatformListing empty;
      empty.m_revision = m_store.LatestRevision();
      Answer(self->m_exchange, JsonAnswer(200, EncodeListing(empty)));
    });
}

void
StandinPlatform::NotifyWatches()
{
  m_watches.remove_if([this](const std::shared_ptr<PendingWatch>& aWatch) {
    const auto changes = m_store.Changes(aWatch->m_prefix, aWatch->m_after);
    if (changes.m_objects.empty()) {
      return false;
    }
    Answer(aWatch->m_exchange, JsonAnswer(200, EncodeListing(changes)));
    return true;
  });
}

void
StandinPlatform::OnAdminRequest(const FaultyHttpServer::Exchange& aExchange)
{
  const HttpRequestParts& request = aExchange->Request();
  if (request.m_method == "GET" && request.m_target == "/counts") {
    aExchange->Answer(JsonAnswer(200, EncodeCounts(m_counts)));
    return;
  }
  if (request.m_method == "POST" && request.m_target == "/restore") {
    const auto age = DecodeRestore(request.m_body);
    if (!age) {
      aExchange->Answer(ErrorAnswer(400, "no age_ms"));
      return;
    }
    Restore(*age);
    aExchange->Answer(JsonAnswer(200, "{}"));
    return;
  }
  if (request.m_method == "POST" && request.m_target == "/cut-watches") {
    CutWatches();
    aExchange->Answer(JsonAnswer(200, "{}"));
    return;
  }
  if (request.m_target != "/faults") {
    aExchange->Answer(ErrorAnswer(404, "no such page"));
    return;
  }
  if (request.m_method == "POST") {
    const auto faults = DecodeFaults(request.m_body, m_faults);
    if (!faults) {
      aExchange->Answer(ErrorAnswer(400, "not a set of faults"));
      return;
    }
    if (const auto set = SetFaults(*faults); !set) {
      aExchange->Answer(ErrorAnswer(500, "the address is taken"));
      return;
    }
  }
  aExchange->Answer(JsonAnswer(200, EncodeFaults(m_faults)));
}

} // namespace tarragontray
