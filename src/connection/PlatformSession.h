/// \file
/// The platform's object API over HTTP/1.1 (docs/PROTOCOLS.md).
///
/// Short calls share one keep-alive connection; each waiting watch has its own
/// connection. Every step has a timeout: a watch fails when its answer doesn't
/// begin to arrive within its wait time and a margin. After any error the next
/// call opens a new connection.
///
///     auto platform = PlatformSession::Create(context, { address });
///     platform.value()->Read(ObjectKey("templates/web/1"), done);
///
/// The step of an error begins with "platform.read", "platform.list",
/// "platform.write" or "platform.watch"; its peer is the platform's address.
///
/// Thread safety: one thread, the one that runs the io_context.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include "base/NetworkAddress.h"
#include "base/Result.h"
#include "base/Units.h"
#include "connection/Platform.h"

namespace boost::asio {
class io_context;
}

namespace tarragontray {

/// Maximum size of the body of one object.
inline constexpr ByteCount kMaxObjectBody{ 1U << 20U };
/// Maximum size of the answer to a list or a watch.
inline constexpr ByteCount kMaxListing{ 16U << 20U };

/// Counters of a session. Thread safety: as the session.
struct PlatformCounters
{
  std::uint64_t m_reads = 0;
  std::uint64_t m_lists = 0;
  std::uint64_t m_writes = 0;
  std::uint64_t m_watches = 0;
  /// Requests that were sent again because a reused connection was closed; the
  /// other counters count them once.
  std::uint64_t m_resent = 0;
  /// Calls that ended with any Error but NotFound and Conflict.
  std::uint64_t m_failures = 0;
};

/// Settings of a session.
struct PlatformSettings
{
  NetworkAddress m_address;
  /// For a short call, until its answer begins to arrive. Twice the response
  /// time of the slowest supported platform.
  Duration m_timeout{ std::chrono::seconds(1) };
  /// Time beyond its wait until the answer to a watch must begin to arrive.
  Duration m_watchMargin{ std::chrono::seconds(2) };
  /// Maximum number of watches that wait at the same time.
  std::size_t m_maxWatches = 8;
  /// Counters that the session updates; optional.
  std::shared_ptr<PlatformCounters> m_counters = nullptr;
};

/// Creates a Platform that calls the platform's service over HTTP.
class PlatformSession
{
public:
  /// Connects on the first call. Errors: InvalidArgument for an address that
  /// is not set or a timeout that is not positive.
  /// Precondition: aContext outlives the session. Calls that have not ended
  /// when the session is destroyed are dropped without calling their callbacks.
  static Result<std::unique_ptr<Platform>> Create(
    boost::asio::io_context& aContext,
    PlatformSettings aSettings);
};

} // namespace tarragontray
