/// \file
/// Connects ControlCore to the platform: lists and watches documents while this
/// node is a relay, reads missing templates, and writes move outcomes and usage
/// reports.
///
///     auto loop = PlatformLoop::Create(settings, std::move(platforms), clock,
///                                      core, random, handle);
///     loop.value()->Check();   // after each event of the core
///
/// A watch can remain unanswered indefinitely without a connection error. After
/// a failure, watches therefore start with a short wait that doubles with each
/// answer, and a watch is dropped when peers deliver newer documents and no
/// bytes of its own answer arrive. After a possible gap the loop lists the
/// current documents instead of watching, so that catching up transfers one
/// version of each object however long the gap was.
///
/// A watch that is silent on every node is found by a read of the platform's
/// revision; process/RevisionChecks.h says which node makes it, and when.
///
/// When nodes register with the platform, the loop keeps this node's entry
/// there and reads the other nodes' entries. The entry also holds the upstream
/// processes of the VM that have departed, which a later process of this node
/// has to know. Writes are conditional on the entry's revision, since a write
/// of an ended process may be executed late. After a restore of the platform
/// the loop reads its own entry back, and writes it again when it is lost or
/// out of date.
///
/// On an error it moves to the next platform address after a back-off with
/// jitter.
///
/// Thread safety: not thread-safe; belongs to the control thread.
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
#include "process/StatusJson.h"

namespace tarragontray {

/// Prefixes to watch, watch timing and registration.
struct PlatformLoopSettings
{
  /// Each prefix has its own watch.
  std::vector<WatchedPrefix> m_prefixes{ { "configurations/" } };
  /// How long the platform holds a watch that has no changes. Must be shorter
  /// than the platform's history, so that the next watch can resume where this
  /// one ended.
  Duration m_watchWait = std::chrono::seconds(25);
  /// Delay between an answer with changes and the next watch, so that one
  /// answer carries several changes in quick succession.
  Duration m_watchRest{ 0 };
  /// This node's entry, by which other nodes discover it. Not set: nodes
  /// discover each other by seeds only, and nothing is registered.
  std::optional<MemberRecord> m_registered;
};

/// See the file comment.
class PlatformLoop
{
public:
  using Handle = std::function<void(ControlActions)>;
  /// Receives the time just before a read of the store's revision, after which
  /// this node's documents of all watched prefixes were complete as of then.
  using OnConfirmed = std::function<void(BootTime)>;

  /// \param aPlatforms in order of preference, at least one.
  /// Errors: InvalidArgument. All references must outlive the result.
  static Result<std::unique_ptr<PlatformLoop>> Create(
    boost::asio::io_context& aContext,
    PlatformLoopSettings aSettings,
    std::vector<std::unique_ptr<Platform>> aPlatforms,
    const Clock& aClock,
    ControlCore& aCore,
    Random& aRandom,
    Handle aHandle,
    OnConfirmed aOnConfirmed = {});

  /// Reads the store's revision at once, whatever the rank of this node.
  void CheckRevisionNow();
  /// Starts the platform calls that are due and not already running.
  void Check();
  void Write(const std::vector<MoveOutcome>& aOutcomes,
             const std::vector<UsagePage>& aUsage);

private:
  /// Bounds of Prefix::m_stallTimeout.
  static constexpr Duration kMinStallTimeout = std::chrono::milliseconds(500);
  static constexpr Duration kMaxStallTimeout = std::chrono::seconds(8);
  /// The state of one watched prefix.
  struct Prefix
  {
    WatchedPrefix m_watched;
    /// The call in flight, if any: Watch or List.
    std::optional<DocumentChannel> m_running;
    MonotonicTime m_notBefore{};
    /// When peers were first ahead of the watch, or when bytes of its answer
    /// last arrived since then.
    std::optional<MonotonicTime> m_overtakenAt;
    /// The platform's WatchedBytes() at m_overtakenAt.
    ByteCount m_arrived;
    /// How long the watch may stay behind peers without receiving bytes before
    /// it is dropped. Doubled after each drop, since a large answer takes
    /// longer over a slow link.
    Duration m_stallTimeout = kMinStallTimeout;
    /// Whether the next call must be List. A watch returns every version since
    /// its revision, which can be many after a gap.
    bool m_mustList = false;
  };

  /// This VM's entry as last read or written.
  struct OwnEntry
  {
    Revision m_revision;
    NodeEntry m_content;
  };

  /// When a revision check began, on both clocks.
  struct CheckTime
  {
    MonotonicTime m_monotonic;
    BootTime m_boot;
  };

  /// The request that a result of List or Watch belongs to.
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
               Handle aHandle,
               OnConfirmed aOnConfirmed);

  Times Now() const { return { m_clock.Now(), m_clock.WallNow() }; }
  Platform& Current() { return *m_platforms[m_current]; }
  /// Watches the prefix, or lists it if changes may have been missed.
  void StartCall(Prefix& aPrefix);
  void OnListing(Prefix& aPrefix,
                 const PrefixCall& aCall,
                 const Result<PlatformListing>& aListing);
  void LogListing(const Prefix& aPrefix,
                  const PrefixCall& aCall,
                  const PlatformListing& aListing) const;
  void RestartWatches();
  /// Called with the revision of each listing. In a new era of the platform,
  /// reads back what this node had written.
  void NoteEra(Revision aRevision);
  /// Reads the platform's revision when it is due, and lists the watched
  /// prefixes that are behind it.
  void CheckRevision(MonotonicTime aNow);
  /// Lists the prefixes that are behind aRevision, beside their watches.
  void ListBehind(Revision aRevision, const CheckTime& aAsOf);
  void OnListedBeside(Prefix& aPrefix,
                      const PrefixCall& aCall,
                      const PlatformListing& aListing);
  /// Ends a call of the revision check; the last one confirms this node's
  /// documents as of aAsOf unless a call failed.
  void EndCheckCall(const std::optional<Error>& aError, const CheckTime& aAsOf);
  /// Drops the watches when this one is behind peers and has received nothing
  /// for m_stallTimeout.
  void CheckForStall(Prefix& aPrefix, MonotonicTime aNow);
  void OnSuccess();
  /// Keeps this VM's entry up to date, and reads the other nodes' entries.
  void Register();
  bool IsEntryCurrent() const;
  void WriteEntry();
  void OnEntryWritten(const DepartedUpstreams& aDeparted,
                      const Result<Revision>& aRevision);
  void ReadNodes();
  /// Adopts the entry that a previous process of this VM wrote.
  void AdoptEntry(const PlatformListing& aNodes);
  void ReadTemplates();
  void CheckAt(MonotonicTime aTime);
  void OnFailure(const Error& aError);
  void WriteOutcome(const MoveOutcome& aOutcome);
  void WriteUsage(const UsagePage& aPage);

  const Clock& m_clock;
  ControlCore& m_core;
  Random& m_random;
  Handle m_handle;
  OnConfirmed m_onConfirmed;
  boost::asio::steady_timer m_retry;
  std::vector<std::unique_ptr<Platform>> m_platforms;
  std::size_t m_current = 0;
  PlatformLoopSettings m_settings;
  std::vector<Prefix> m_prefixes;
  /// The wait of the next watch; short after a failure, so that a watch lost by
  /// the platform delays updates only briefly.
  Duration m_wait{ 0 };
  /// Calls of the revision check in progress: one for the revision, then one
  /// for each prefix that is listed.
  std::size_t m_checkCalls = 0;
  bool m_hasCheckFailed = false;
  bool m_isCheckRequested = false;
  /// The latest era in any listing; not set before the first one.
  std::optional<PlatformEra> m_era;
  /// Whether this node's entry is being written or all entries are being read.
  bool m_isNodeCallRunning = false;
  /// Not set when the platform has no entry of this VM, or none is known.
  std::optional<OwnEntry> m_entry;
  /// Whether the entry has still to be read: another process wrote it, or the
  /// platform was restored.
  bool m_mustReadEntry = false;
  /// When the other nodes' entries are read next.
  MonotonicTime m_readNodesAt{};
  /// When the timer runs Check; not set when the timer is not armed.
  std::optional<MonotonicTime> m_retryAt;
  /// Consecutive failures, for the back-off.
  std::uint32_t m_failures = 0;
  MonotonicTime m_notBefore{};
  std::set<ObjectKey> m_reading;
  std::uint64_t m_operations = 0;
};

} // namespace tarragontray
