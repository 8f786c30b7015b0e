/// \file
/// In-memory stand-in for the platform's object API (docs/PROTOCOLS.md), with
/// fault injection through an admin port.
///
///     auto platform = StandinPlatform::Create(context, clock, settings);
///     platform.value()->SetFaults({ .m_staleness = std::chrono::seconds(5) });
///
/// Admin port:
///
/// | request | answer |
/// | --- | --- |
/// | `GET /faults` | the faults in force, as JSON |
/// | `POST /faults` | sets the faults named in the JSON body, keeps the rest |
/// | `POST /restore` | loses the writes of the last `age_ms` of the body |
/// | `POST /cut-watches` | closes the connections of all waiting watches |
/// | `GET /counts` | number of calls by kind since the start, as JSON |
///
/// Fields of the faults, described at PlatformFaults: `down` ("no", "refuse" or
/// "error"), `slow_ms`, `lose_answers`, `silent_watches` (true or false),
/// `stale_ms`, `reads_per_second` and `writes_per_second` (0: no limit).
///
/// Thread safety: not thread-safe; use it only on the thread that runs the
/// io_context.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "base/Clock.h"
#include "base/NetworkAddress.h"
#include "base/Result.h"
#include "base/TokenBucket.h"
#include "connection/PlatformMessages.h"
#include "programs/FaultyHttpServer.h"
#include "programs/StandinPlatformStore.h"

namespace tarragontray {

/// How the stand-in simulates an outage.
enum class Outage : std::uint8_t
{
  None,
  /// New connections are refused and open connections closed.
  Refuse,
  /// Every call is answered with 503.
  Error,
};

/// The faults that the stand-in injects.
struct PlatformFaults
{
  Outage m_outage = Outage::None;
  /// Delay before each call is served, watches included.
  Duration m_slowness{ 0 };
  /// Number of next writes that take effect but whose connection is closed
  /// without an answer.
  std::uint32_t m_lostAnswers = 0;
  /// Waiting and new watches are never answered, even after the fault is
  /// cleared.
  bool m_areWatchesSilent = false;
  /// Reads and lists return the state as of this long ago.
  Duration m_staleness{ 0 };
  /// Limit of reads, lists and watches; 0: no limit.
  std::uint32_t m_readsPerSecond = 0;
  /// 0: no limit.
  std::uint32_t m_writesPerSecond = 0;
};

/// Number of calls since the start, by kind.
struct PlatformCounts
{
  std::uint64_t m_reads = 0;
  std::uint64_t m_lists = 0;
  std::uint64_t m_writes = 0;
  std::uint64_t m_watches = 0;
  std::uint64_t m_conflicts = 0;
  /// Calls refused by a rate limit.
  std::uint64_t m_limited = 0;
  std::uint64_t m_malformed = 0;
};

struct StandinPlatformSettings
{
  NetworkAddress m_address;
  NetworkAddress m_adminAddress;
  PlatformFaults m_faults;
};

/// See the file comment.
class StandinPlatform
{
public:
  /// Listens on both addresses. Errors: Unreachable when one of them can't be
  /// bound.
  /// Precondition: aContext and aClock outlive the stand-in.
  static Result<std::unique_ptr<StandinPlatform>> Create(
    boost::asio::io_context& aContext,
    const Clock& aClock,
    StandinPlatformSettings aSettings);

  NetworkAddress Address() const { return m_address; }
  NetworkAddress AdminAddress() const { return m_admin->Address(); }
  const PlatformCounts& Counts() const { return m_counts; }
  const PlatformFaults& Faults() const { return m_faults; }
  std::size_t WaitingWatches() const { return m_watches.size(); }
  /// Replaces the faults in force. Errors: Unreachable when the address can't
  /// be bound again after an outage.
  Result<void> SetFaults(const PlatformFaults& aFaults);
  /// Loses every write of the last aAge, as a platform that is restored from a
  /// copy does, and begins a new era. Cuts the watches.
  void Restore(Duration aAge);
  /// Closes the connections of all waiting watches without an answer.
  void CutWatches();

private:
  struct PendingWatch;

  StandinPlatform(boost::asio::io_context& aContext, const Clock& aClock);

  Result<void> Open(NetworkAddress aAddress);
  void OnRequest(FaultyHttpServer::Exchange aExchange);
  void OnAdminRequest(const FaultyHttpServer::Exchange& aExchange);
  void Serve(const FaultyHttpServer::Exchange& aExchange,
             const PlatformRequest& aRequest);
  void ServeRead(const FaultyHttpServer::Exchange& aExchange,
                 const ObjectKey& aKey);
  void ServeWrite(const FaultyHttpServer::Exchange& aExchange,
                  const PlatformWrite& aWrite);
  void ServeWatch(const FaultyHttpServer::Exchange& aExchange,
                  const PlatformRequest& aRequest);
  bool TakeToken(PlatformOperation aOperation);
  void NotifyWatches();
  /// Answers with the header of the era.
  void Answer(const FaultyHttpServer::Exchange& aExchange,
              HttpAnswerParts aAnswer) const;
  /// The time whose state reads and lists return.
  MonotonicTime AsOf() const;

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  NetworkAddress m_address;
  PlatformFaults m_faults;
  PlatformCounts m_counts;
  /// Number of restores; sent as a header with all answers once it is above 0.
  std::uint64_t m_era = 0;
  StandinPlatformStore m_store;
  /// Without a value: no limit.
  std::optional<TokenBucket> m_readLimit;
  std::optional<TokenBucket> m_writeLimit;
  std::list<std::shared_ptr<PendingWatch>> m_watches;
  std::unique_ptr<FaultyHttpServer> m_server;
  std::unique_ptr<FaultyHttpServer> m_admin;
};

} // namespace tarragontray
