/// \file
/// Keeps the control core and the platform in touch: watches while this node
/// is a relay, reads missing templates, writes outcomes and the ledger.
///
///     auto loop = PlatformLoop::Create(settings, std::move(platforms), clock,
///                                      core, random, handle);
///     loop.value()->Check();   // after each event of the core
///
/// A watch can go unanswered for good without its connection failing. After a
/// failure watches are short and grow with each answer, and a watch that peers
/// overtake is given up. Whoever may have missed changes lists what there is
/// now, so that catching up costs one version however long it was away.
///
/// Where nodes register, it writes this node's address once for each life of
/// the process and reads the others'. On an error the next address is tried,
/// after a wait with full jitter.
///
/// Thread safety: one thread (control).
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/Clock.h"
#include "base/Result.h"
#include "connection/Platform.h"
#include "connection/PlatformSession.h"
#include "process/ControlCore.h"
#include "process/UpstreamRegister.h"

namespace tarragontray {

/// Where the node registers, and what it watches.
struct PlatformLoopSettings
{
  /// One watch each.
  std::vector<WatchedPrefix> m_prefixes{ { "configurations/" } };
  /// How long one watch waits; less than the platform keeps its history, so
  /// that a quiet watch goes on from where it ended.
  Duration m_watchWait = std::chrono::seconds(25);
  /// From a change to the next watch: changes in quick succession come with
  /// one answer.
  Duration m_watchRest{ 0 };
  /// Written so that nodes find each other; not set: they are told of seeds.
  std::optional<MemberRecord> m_registered;
  /// Gets the upstream's life that a former process of this VM knew to end.
  std::function<void(const UpstreamProcess&)> m_onPreviousLeave =
    [](const UpstreamProcess&) {};
};

/// See the file comment.
class PlatformLoop
{
public:
  using Handle = std::function<void(ControlActions)>;

  /// \param aPlatforms in order of preference, at least one.
  /// Errors: InvalidArgument. All references must outlive the result.
  static Result<std::unique_ptr<PlatformLoop>> Create(
    boost::asio::io_context& aContext,
    PlatformLoopSettings aSettings,
    std::vector<std::unique_ptr<Platform>> aPlatforms,
    const Clock& aClock,
    ControlCore& aCore,
    Random& aRandom,
    Handle aHandle);

  /// Starts what the core wants now and what does not run yet.
  void Check();
  /// Keeps with this node's entry that a life of its upstream ends, for the
  /// processes that come after this one. Does nothing when it is kept already
  /// or the node is not registered at all.
  void RecordUpstreamLeave(const UpstreamProcess& aLeft);
  void Write(const std::vector<MoveOutcome>& aOutcomes,
             const std::vector<UsageReport>& aUsage);

private:
  /// How much later than peers a watch may bring the same.
  static constexpr Duration kMinStallTimeout = std::chrono::milliseconds(500);
  static constexpr Duration kMaxStallTimeout = std::chrono::seconds(8);
  /// One watched prefix.
  struct Prefix
  {
    WatchedPrefix m_watched;
    /// The call that runs: Watch or List.
    std::optional<DocumentChannel> m_running;
    MonotonicTime m_notBefore{};
    /// Since when peers know more than the watch has brought and nothing of
    /// its answer arrives.
    std::optional<MonotonicTime> m_overtakenAt;
    /// The bytes that had arrived by then.
    ByteCount m_arrived;
    /// How long the watch may be behind peers. Doubled with each try that
    /// brings nothing, since a large answer over a narrow link takes its time.
    Duration m_stallTimeout = kMinStallTimeout;
    /// The next call lists what there is now. A watch brings every version
    /// since its revision, which may be many after a pause.
    bool m_mustList = false;
  };

  /// A call for a prefix that has been answered, or has failed.
  struct PrefixCall
  {
    DocumentChannel m_channel = DocumentChannel::Watch;
    Revision m_after;
    MonotonicTime m_startedAt{};
  };

  PlatformLoop(boost::asio::io_context& aContext,
               PlatformLoopSettings aSettings,
               const Clock& aClock,
               ControlCore& aCore,
               Random& aRandom,
               Handle aHandle);

  Times Now() const { return { m_clock.Now(), m_clock.WallNow() }; }
  Platform& Current() { return *m_platforms[m_current]; }
  /// Watches the prefix, or lists it when changes may have been missed.
  void StartCall(Prefix& aPrefix);
  void OnListing(Prefix& aPrefix,
                 const PrefixCall& aCall,
                 const Result<PlatformListing>& aListing);
  void LogListing(const Prefix& aPrefix,
                  const PrefixCall& aCall,
                  const PlatformListing& aListing) const;
  void RestartWatches();
  /// Gives up a watch that has brought nothing although there is news.
  void CheckForStall(Prefix& aPrefix, MonotonicTime aNow);
  void OnSuccess();
  void Register();
  void ReadNodes();
  /// Takes over what a former process of this VM left in its entry.
  void AdoptPreviousEntry(const PlatformListing& aNodes);
  void ReadTemplates();
  void CheckAt(MonotonicTime aTime);
  void OnFailure(const Error& aError);
  void WriteOutcome(const MoveOutcome& aOutcome);
  void WriteUsage(const UsageReport& aReport);

  const Clock& m_clock;
  ControlCore& m_core;
  Random& m_random;
  Handle m_handle;
  boost::asio::steady_timer m_retry;
  std::vector<std::unique_ptr<Platform>> m_platforms;
  std::size_t m_current = 0;
  PlatformLoopSettings m_settings;
  std::vector<Prefix> m_prefixes;
  /// How long the next watch waits: short after a failure, so that one that
  /// the platform has lost costs little.
  Duration m_wait{ 0 };
  /// This node's entry is being written, or those of all are being read.
  bool m_isNodeCallRunning = false;
  bool m_isRegistered = false;
  /// The VM has an entry already.
  bool m_hasEntry = false;
  /// The entry is a former process's and has not been read yet.
  bool m_mustReadPreviousEntry = false;
  /// What the entry says, or is to say.
  std::optional<UpstreamProcess> m_left;
  /// When the other nodes are read next.
  MonotonicTime m_readNodesAt{};
  /// When Check runs next; not set: only when it is called.
  std::optional<MonotonicTime> m_retryAt;
  /// Failures since the last success, for the wait.
  std::uint32_t m_failures = 0;
  MonotonicTime m_notBefore{};
  std::set<ObjectKey> m_reading;
  std::uint64_t m_operations = 0;
};

} // namespace tarragontray
