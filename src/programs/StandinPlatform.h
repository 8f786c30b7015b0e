/// \file
/// The stand-in for the platform's service: the object API of
/// docs/PROTOCOLS.md in memory, with faults that an admin port sets.
///
///     auto platform = StandinPlatform::Create(context, clock, settings);
///     platform.value()->SetFaults({ .m_staleness = std::chrono::seconds(5) });
///
/// Admin port:
///
/// | request | answer |
/// | --- | --- |
/// | `GET /faults` | the faults in force, as JSON |
/// | `POST /faults` | sets those that the JSON body names; the others stay |
/// | `GET /counts` | calls by kind since the start, as JSON |
///
/// Fields of the faults: `down` ("no", "refuse", "error"), `slow_ms`,
/// `lose_answers` (of so many next writes, after they took effect),
/// `silent_watches` (true, false), `stale_ms`, `reads_per_second` and
/// `writes_per_second` (0: no limit).
///
/// Thread safety: one thread, the one that runs the io_context.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "base/Clock.h"
#include "base/NetworkAddress.h"
#include "base/Result.h"
#include "connection/PlatformMessages.h"
#include "process/TokenBucket.h"
#include "programs/FaultyHttpServer.h"
#include "programs/StandinPlatformStore.h"

namespace tarragontray {

/// How the stand-in is out of service.
enum class Outage : std::uint8_t
{
  None,
  /// Connections are refused, and open ones closed.
  Refuse,
  /// Every call is answered with 503.
  Error,
};

/// What goes wrong on purpose.
struct PlatformFaults
{
  Outage m_outage = Outage::None;
  /// Added to each short call before it takes effect.
  Duration m_slowness{ 0 };
  /// So many next writes take effect and then lose their answer.
  std::uint32_t m_lostAnswers = 0;
  /// Watches that wait, and new ones, stay silent for good.
  bool m_areWatchesSilent = false;
  /// Reads and lists show the state of so long ago.
  Duration m_staleness{ 0 };
  /// 0: no limit.
  std::uint32_t m_readsPerSecond = 0;
  std::uint32_t m_writesPerSecond = 0;
};

/// Calls since the start.
struct PlatformCounts
{
  std::uint64_t m_reads = 0;
  std::uint64_t m_lists = 0;
  std::uint64_t m_writes = 0;
  std::uint64_t m_watches = 0;
  std::uint64_t m_conflicts = 0;
  /// Refused by a rate limit.
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
  /// Listens on both addresses. Errors: Unreachable.
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
  /// Errors: Unreachable when the address can't be had again after an outage.
  Result<void> SetFaults(const PlatformFaults& aFaults);

private:
  struct Waiting;

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
  MonotonicTime AsOf() const;

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  NetworkAddress m_address;
  PlatformFaults m_faults;
  PlatformCounts m_counts;
  StandinPlatformStore m_store;
  /// Not set: no limit.
  std::optional<TokenBucket> m_readTokens;
  std::optional<TokenBucket> m_writeTokens;
  std::list<std::shared_ptr<Waiting>> m_watches;
  std::unique_ptr<FaultyHttpServer> m_server;
  std::unique_ptr<FaultyHttpServer> m_admin;
};

} // namespace tarragontray
