/// \file
/// Keeps the control core and the platform in touch: watches while this node
/// is a relay, reads missing templates, writes outcomes and the ledger.
///
///     auto loop = PlatformLoop::Create(context, addresses, clock, core,
///     handle); loop.value()->Check();   // after each event of the core
///
/// On an error the next address is tried, after a wait with full jitter.
///
/// Thread safety: one thread (control).
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/Clock.h"
#include "base/Result.h"
#include "connection/Platform.h"
#include "connection/PlatformSession.h"
#include "process/ControlCore.h"

namespace tarragontray {

/// What the platform was asked.
struct PlatformTraffic
{
  CallCount m_calls;
};

/// See the file comment.
class PlatformLoop
{
public:
  using Handle = std::function<void(ControlActions)>;

  /// \param aAddresses in order of preference, at least one.
  /// Errors: InvalidArgument. All references must outlive the result.
  static Result<std::unique_ptr<PlatformLoop>> Create(
    boost::asio::io_context& aContext,
    const std::vector<NetworkAddress>& aAddresses,
    const Clock& aClock,
    ControlCore& aCore,
    Random& aRandom,
    Handle aHandle);

  /// Starts what the core wants now and what does not run yet.
  void Check();
  void Write(const std::vector<MoveOutcome>& aOutcomes,
             const std::vector<UsageReport>& aUsage);
  PlatformTraffic Traffic() const;

private:
  PlatformLoop(boost::asio::io_context& aContext,
               const Clock& aClock,
               ControlCore& aCore,
               Random& aRandom,
               Handle aHandle);

  Times Now() const { return { m_clock.Now(), m_clock.WallNow() }; }
  Platform& Current() { return *m_platforms[m_current]; }
  void Watch();
  void OnListing(const Result<PlatformListing>& aListing);
  void ReadTemplates();
  void CheckAt(MonotonicTime aTime);
  void Fail(const Error& aError);
  void WriteOutcome(const MoveOutcome& aOutcome);
  void WriteUsage(const UsageReport& aReport);

  const Clock& m_clock;
  ControlCore& m_core;
  Random& m_random;
  Handle m_handle;
  boost::asio::steady_timer m_retry;
  std::shared_ptr<PlatformCounters> m_counters;
  std::vector<std::unique_ptr<Platform>> m_platforms;
  std::size_t m_current = 0;
  bool m_isWatching = false;
  bool m_isRetryPending = false;
  /// Failures since the last success, for the wait.
  std::uint32_t m_failures = 0;
  MonotonicTime m_notBefore{};
  std::set<ObjectKey> m_reading;
  std::uint64_t m_operations = 0;
};

} // namespace tarragontray
