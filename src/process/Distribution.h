/// \file
/// How documents of the platform reach every node.
///
/// Relays (the top-ranked live members of each data centre, a soft role) watch
/// the platform. The relay of rank 0 sends what is new along a tree over its
/// data centre at once; the others wait a little in turn and send only what
/// has not come along a tree meanwhile. Small documents ride in the datagram;
/// for a larger one the digest goes along the tree and each child pulls the
/// document from its parent. Digests on probes repair every loss, also between
/// data centres, so that one that is cut off from the platform alone still
/// converges. Of each key the highest revision wins, whatever order documents
/// come in and wherever from.
///
/// The control code, besides what process/Gossip.h does:
///
///     if (distribution.WantsWatch(now) && distribution.TakePlatformRead(now))
///     {
///       platform.Watch(prefix, distribution.WatchAfter(), ...);
///     }
///     // in the callback; after a failure nothing is called but the same loop
///     distribution.OfferFromPlatform(documents, listing.m_revision, now);
///     store.Offer(distribution.TakeChanged());
///
/// WatchAfter() is 0 until a first List has been offered.
///
/// Thread safety: one thread (control) for each instance.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/Random.h"
#include "base/Result.h"
#include "base/Units.h"
#include "process/Datagram.h"
#include "process/DocumentOrigin.h"
#include "process/DocumentTable.h"
#include "process/Pull.h"
#include "process/SpreadTree.h"
#include "process/TokenBucket.h"
#include "version/Document.h"

namespace tarragontray {

struct DistributionSettings
{
  std::size_t m_maxDocuments = 20'000;
  /// A document takes effect on a relay only once it has been sent on; off
  /// where every node watches, and none depends on others for its start.
  bool m_defersUntilSpread = true;
  /// The wait of each rank after the one before it.
  Duration m_rankDelay = std::chrono::milliseconds(300);
  /// Platform reads of this node, a second and at once.
  double m_platformReads = 2.0;
  double m_platformBurst = 4.0;
  /// A node without any document reads the platform itself after this time
  /// and a random part of the same again.
  Duration m_coldStartWait = std::chrono::seconds(10);
  /// The most that one answer to a pull holds.
  ByteCount m_maxAnswer{ 262'144 };
};

/// Keys that are watched at the platform, and by how many nodes of a cell.
struct WatchedPrefix
{
  std::string m_keys;
  /// The others list the keys once, and are told of changes by peers: for
  /// objects so small that telling costs less than a watch.
  std::size_t m_watchers = std::numeric_limits<std::size_t>::max();
};

struct DistributionActions
{
  std::vector<OutgoingDatagram> m_send;
};

struct DistributionCounters
{
  /// Documents that were no news: duplicates and older revisions.
  std::uint64_t m_stale = 0;
  /// Documents that this node sent along a tree as its root.
  std::uint64_t m_spread = 0;
  std::uint64_t m_platformReads = 0;
  std::uint64_t m_platformReadsDeferred = 0;
};

/// Where documents came from; decides whether they are spread.
enum class DocumentSource
{
  /// A pull within the data centre: a tree is or was on its way.
  Peer,
  /// A pull from another data centre: the own one may lack it.
  OtherDataCentre,
};

/// The documents of one node, and what it passes on.
class Distribution
{
public:
  /// The topology and the random source outlive the result.
  /// Errors: InvalidArgument for rates that are not above 0.
  static Result<Distribution> Create(const DistributionSettings& aSettings,
                                     SpreadTopology& aTopology,
                                     Random& aRandom);

  /// Takes the documents of a datagram; the caller forwards it along its path.
  void Receive(const Datagram& aDatagram, MonotonicTime aNow);
  DistributionActions Tick(MonotonicTime aNow);
  /// MonotonicTime::max() when nothing waits.
  MonotonicTime NextTick() const;

  /// \param aComplete the listing's revision: the next watch starts there.
  void OfferFromPlatform(const std::vector<Document>& aDocuments,
                         Revision aComplete,
                         MonotonicTime aNow,
                         const std::string& aPrefix = {},
                         DocumentChannel aChannel = DocumentChannel::Watch);
  /// The platform's history after WatchAfter is gone: list again.
  void ResetWatch(const std::string& aPrefix) { m_complete.erase(aPrefix); }
  /// \param aPath set when the pull followed a digest along a tree: children
  /// are told in turn.
  DistributionActions OfferFromPeer(const VmId& aPeer,
                                    const std::vector<Document>& aDocuments,
                                    DocumentSource aSource,
                                    const std::optional<SpreadPath>& aPath,
                                    MonotonicTime aNow);

  /// True while this node is to keep a watch at the platform.
  bool WantsWatch(MonotonicTime aNow, const WatchedPrefix& aPrefix = {});
  /// Asks for leave to call the platform once; false: try again at
  /// PlatformReadyAt().
  bool TakePlatformRead(MonotonicTime aNow);
  MonotonicTime PlatformReadyAt(MonotonicTime aNow)
  {
    return m_platformReads.ReadyAt(1.0, aNow);
  }
  /// The revision that the next watch starts after; 0 asks for a List first.
  /// Each prefix of keys has its own listing.
  Revision WatchAfter(const std::string& aPrefix = {}) const
  {
    const auto found = m_complete.find(aPrefix);
    return found == m_complete.end() ? Revision(0) : found->second;
  }

  /// Peers brought a newer document of the prefix than the platform did.
  bool IsOvertaken(const std::string& aPrefix) const;

  /// A peer says that a process on this VM has held this revision.
  void RaiseFloor(Revision aFloor) { m_floor = std::max(m_floor, aFloor); }
  /// True while this node holds less than its forerunner on the same VM did:
  /// it is not to serve until it has caught up.
  bool IsBelowFloor() const { return m_table.Digest().m_highest < m_floor; }

  /// Documents that changed since the last call, for the configuration store.
  /// One that is still to be spread is held back: what a node has in force is
  /// known to others, so that its replacement finds it when the platform is
  /// out.
  std::vector<Document> TakeChanged();
  bool HasChanged() const;
  /// What answers a pull.
  std::vector<Document> DocumentsFor(const BucketHashes& aTheirs) const
  {
    return m_table.Differing(aTheirs, m_settings.m_maxAnswer);
  }
  const DocumentTable& Table() const { return m_table; }
  /// How the held revision of a document came; null for an unknown key.
  const DocumentOrigin* OriginOf(const ObjectKey& aKey) const;
  const DistributionCounters& Counters() const { return m_counters; }

private:
  Distribution(const DistributionSettings& aSettings,
               SpreadTopology& aTopology,
               Random& aRandom);

  bool IsDeferred(const ObjectKey& aKey) const
  {
    return m_settings.m_defersUntilSpread && m_waiting.contains(aKey);
  }
  /// The keys that were news.
  std::set<ObjectKey> Apply(const std::vector<Document>& aDocuments,
                            DocumentOrigin aOrigin,
                            MonotonicTime aNow);
  std::optional<Duration> PlatformAge(const ObjectKey& aKey,
                                      MonotonicTime aNow) const;
  void SpreadLater(const std::set<ObjectKey>& aKeys, MonotonicTime aNow);
  /// Datagrams of at most kMaxDatagramBytes. Each has the given path, or a new
  /// one of its own. The last one carries the digest when a document is too
  /// large for any.
  std::vector<Datagram> Pack(const std::set<ObjectKey>& aKeys,
                             const std::optional<SpreadPath>& aPath);
  void Send(const std::set<ObjectKey>& aKeys,
            const std::optional<SpreadPath>& aPath,
            std::vector<OutgoingDatagram>& aSend);

  DistributionSettings m_settings;
  SpreadTopology* m_topology;
  Random* m_random;
  DocumentTable m_table;
  TokenBucket m_platformReads;
  DistributionCounters m_counters;
  std::set<ObjectKey> m_changed;
  /// Keys to send along a new tree, unless they come along one before.
  std::map<ObjectKey, MonotonicTime> m_waiting;
  std::map<std::string, Revision> m_complete;
  /// When the platform last answered for each prefix.
  std::map<std::string, MonotonicTime> m_answeredAt;
  std::map<ObjectKey, DocumentOrigin> m_origins;
  Revision m_floor;
  std::optional<MonotonicTime> m_coldStartAt;
};

} // namespace tarragontray
