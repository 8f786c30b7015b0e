/// \file
/// Distributes documents from the platform to every node.
///
/// The top-ranked live members of each data centre (a soft role that needs no
/// agreement) watch the platform. The node of rank 0 sends each new document
/// along a spread tree over its data centre at once. The others wait, longer
/// with each rank, and send only documents that have not arrived along a tree
/// by then. A small document is part of the datagram, and of a larger one the
/// difference to the version before it. When that is too large as well, only
/// the digest goes along the tree, and each child pulls the document from its
/// parent. Anti-entropy by digests on probes repairs lost datagrams within and
/// between data centres, so that a data centre that cannot reach the platform
/// still converges. For each key the highest revision wins, in whatever order
/// and from whatever source documents arrive.
///
/// The control code calls, in addition to what process/Gossip.h describes:
///
///     if (distribution.WantsWatch(now) && distribution.TakePlatformRead(now))
///     {
///       platform.Watch(prefix, distribution.WatchAfter(), ...);
///     }
///     // In the callback. After a failure, run the loop above again.
///     distribution.OfferFromPlatform(documents, listing.m_revision, now);
///     store.Offer(distribution.TakeChanged());
///
/// WatchAfter() is 0 until the first listing has been offered.
///
/// Thread safety: one thread (control) for each instance.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/Random.h"
#include "base/Result.h"
#include "base/TokenBucket.h"
#include "base/Units.h"
#include "process/Datagram.h"
#include "process/DocumentOrigin.h"
#include "process/DocumentTable.h"
#include "process/PatchHistory.h"
#include "process/Pull.h"
#include "process/RevisionChecks.h"
#include "process/SpreadTree.h"
#include "version/Document.h"
#include "version/DocumentPatch.h"

namespace tarragontray {

struct DistributionSettings
{
  std::size_t m_maxDocuments = 20'000;
  /// Whether a document takes effect on this node only after it has been sent
  /// along a tree. False where every node watches the platform and therefore
  /// does not depend on peers to start.
  bool m_defersUntilSpread = true;
  /// Whether this node lists the watched prefixes at its start, whatever its
  /// rank, so that it need not wait for its peers.
  bool m_listsAtStart = false;
  /// Encodes the changes of large documents; null: only whole documents are
  /// sent.
  std::shared_ptr<const PatchCodec> m_patches;
  PatchHistorySettings m_history;
  /// The additional delay of each rank before it spreads a document.
  Duration m_rankDelay = std::chrono::milliseconds(300);
  /// Platform reads of this node, per second.
  double m_platformReads = 2.0;
  /// Platform reads that may be made at once.
  double m_platformBurst = 4.0;
  /// A node without any document reads the platform itself after this time
  /// plus a random jitter of up to the same length.
  Duration m_coldStartWait = std::chrono::seconds(10);
  /// The size limit of the documents in one answer to a pull.
  ByteCount m_maxAnswer{ 262'144 };
  RevisionCheckSettings m_checks;
};

/// A prefix of keys to watch at the platform, and how many nodes of each data
/// centre watch it.
struct WatchedPrefix
{
  std::string m_keys;
  /// The other nodes receive changes by gossip.
  std::size_t m_watchers = std::numeric_limits<std::size_t>::max();
  /// How many relays of the whole cell watch it besides, for a cell with few
  /// data centres.
  std::size_t m_cellWatchers = 0;
  /// Whether an object that a listing lacks counts as deleted. Otherwise only a
  /// watch tells that.
  bool m_isDeletedByAbsence = false;
};

struct DistributionActions
{
  std::vector<OutgoingDatagram> m_send;
};

struct DistributionCounters
{
  /// Received documents that were duplicates or older revisions.
  std::uint64_t m_stale = 0;
  /// Documents that this node sent along a spread tree as its root.
  std::uint64_t m_spread = 0;
  std::uint64_t m_platformReads = 0;
  std::uint64_t m_platformReadsDeferred = 0;
  /// Received patches that were applied, and those that did not apply to the
  /// held version or were malformed.
  std::uint64_t m_patched = 0;
  std::uint64_t m_patchesRejected = 0;
};

/// The documents of an answer to a pull.
struct PulledDocuments
{
  std::vector<Document> m_documents;
  /// In the order in which they apply.
  std::vector<DocumentPatch> m_patches;
};

/// The source of pulled documents. Determines whether they are spread.
enum class DocumentSource
{
  /// A pull within the data centre: a spread tree already delivers them.
  Peer,
  /// A pull from another data centre: this data centre may not have them yet.
  OtherDataCentre,
};

/// Holds the documents of one node and decides which to send on.
class Distribution
{
public:
  /// The topology and the random source must outlive the result.
  /// Errors: InvalidArgument for a platform read rate that is not above 0 or a
  /// burst below 1.
  static Result<Distribution> Create(const DistributionSettings& aSettings,
                                     SpreadTopology& aTopology,
                                     Random& aRandom);

  /// Merges the documents of a datagram. The caller forwards the datagram along
  /// its path.
  void Receive(const Datagram& aDatagram, MonotonicTime aNow);
  DistributionActions Tick(MonotonicTime aNow);
  /// When Tick() is due; MonotonicTime::max() when no spread is pending.
  MonotonicTime NextTick() const;

  /// Merges documents that the platform returned for a prefix.
  /// \param aComplete the revision of the listing; the next watch starts after
  /// it.
  void OfferFromPlatform(const std::vector<Document>& aDocuments,
                         Revision aComplete,
                         MonotonicTime aNow,
                         const std::string& aPrefix = {},
                         DocumentChannel aChannel = DocumentChannel::Watch);
  /// The deletions that a listing of a prefix shows by the absence of objects:
  /// of each document that this node holds, that the listing covers and that it
  /// lacks. A listing in another era of the platform than a document's shows
  /// none, since the platform may have lost the object instead of deleting it.
  /// \param aComplete the revision of the listing, which the deletions get.
  std::vector<Document> DeletionsIn(const std::vector<Document>& aListed,
                                    Revision aComplete,
                                    const std::string& aPrefix) const;
  /// Call when the platform no longer has the history after WatchAfter(), so
  /// that the next read is a listing.
  void ResetWatch(const std::string& aPrefix) { m_complete.erase(aPrefix); }
  /// When this node should read the platform's revision;
  /// MonotonicTime::max() when it is not a relay. May be early, but not when it
  /// is due.
  MonotonicTime NextRevisionCheck(MonotonicTime aNow) const;
  /// Records that the platform held no newer documents of the watched prefixes
  /// at aAsOf, and spreads that to the peers if this node's rank is low.
  void ConfirmFromPlatform(MonotonicTime aAsOf);
  /// Merges documents from the answer to a pull.
  /// \param aPath set when a digest along a tree led to the pull; the documents
  /// are then forwarded to this node's children in that tree.
  DistributionActions OfferFromPeer(const VmId& aPeer,
                                    const PulledDocuments& aPulled,
                                    DocumentSource aSource,
                                    const std::optional<SpreadPath>& aPath,
                                    MonotonicTime aNow);

  /// True while this node should keep a watch at the platform.
  bool WantsWatch(MonotonicTime aNow, const WatchedPrefix& aPrefix = {});
  /// Takes one read from the platform read budget. When it returns false, the
  /// budget is used up until PlatformReadyAt().
  bool TakePlatformRead(MonotonicTime aNow);
  MonotonicTime PlatformReadyAt(MonotonicTime aNow)
  {
    return m_platformReads.ReadyAt(1.0, aNow);
  }
  /// The revision after which the next watch of the prefix starts; 0 when the
  /// prefix has to be listed first.
  Revision WatchAfter(const std::string& aPrefix = {}) const
  {
    const auto found = m_complete.find(aPrefix);
    return found == m_complete.end() ? Revision(0) : found->second;
  }

  /// True when this node has a newer document of the prefix, from a peer, than
  /// its last platform read covered.
  bool HasNewerThanPlatform(const std::string& aPrefix) const;

  /// Records that, according to a peer, a process on this VM has held this
  /// revision.
  void RaiseFloor(Revision aFloor) { m_floor = std::max(m_floor, aFloor); }
  /// True while the highest revision of this node is below that of its
  /// predecessor on the same VM. The node must not serve until it has caught
  /// up.
  bool IsBelowFloor() const { return m_table.Digest().m_highest < m_floor; }

  /// Documents that changed since the last call, for the configuration store.
  /// Omits documents that are still to be spread: a document takes effect only
  /// after it was sent to peers, so that a replacement of this node can obtain
  /// it during a platform outage.
  std::vector<Document> TakeChanged();
  bool HasChanged() const;
  /// The documents for the answer to a pull. A document that the peer holds in
  /// an earlier version is left out when patches lead from that to the newest.
  /// Precondition: aRequest.m_documents is set.
  PulledDocuments DocumentsFor(const PullRequest& aRequest) const;
  /// The versions of large documents that this node holds, for a pull.
  std::vector<HeldDocument> HeldLarge() const;
  const DocumentTable& Table() const { return m_table; }
  /// Whether the document is newer than this node's, or unknown to it.
  bool IsNews(const Document& aDocument) const;
  /// How this node received its revision of a document; null for an unknown
  /// key. Valid until the next change.
  const DocumentOrigin* OriginOf(const ObjectKey& aKey) const;
  const DistributionCounters& Counters() const { return m_counters; }

private:
  Distribution(const DistributionSettings& aSettings,
               SpreadTopology& aTopology,
               Random& aRandom);

  bool IsDeferred(const ObjectKey& aKey) const
  {
    return m_settings.m_defersUntilSpread && m_spreadAt.contains(aKey);
  }
  /// Returns the keys that changed.
  std::set<ObjectKey> Apply(const std::vector<Document>& aDocuments,
                            DocumentOrigin aOrigin,
                            MonotonicTime aNow);
  std::optional<Duration> PlatformAge(const ObjectKey& aKey,
                                      MonotonicTime aNow) const;
  /// Applies patches in their order. Returns the keys that changed.
  std::set<ObjectKey> ApplyPatches(const std::vector<DocumentPatch>& aPatches,
                                   const DocumentOrigin& aOrigin,
                                   MonotonicTime aNow);
  /// Keeps the held versions of large documents that aDocuments replace, as
  /// the bases of patches.
  void KeepFormer(const std::vector<Document>& aDocuments);
  void KeepFormer(const ObjectKey& aKey);
  void SpreadLater(const std::set<ObjectKey>& aKeys,
                   Duration aWait,
                   MonotonicTime aNow);
  /// The delay of this node's rank before it spreads a document that it read
  /// from the platform.
  Duration RankWait();
  /// Removes a key from the documents that are still to be spread.
  void EndSpread(const ObjectKey& aKey);
  /// The patch from the version that peers are likely to hold, if this node
  /// held that too.
  std::optional<DocumentPatch> PatchFor(const Document& aDocument);
  /// Packs the documents into datagrams of at most kMaxDatagramBytes. All have
  /// the given path; without one, each gets a new path. When a document is too
  /// large for a datagram, its patch is packed and the last datagram carries
  /// the digest, for those that the patch does not reach or apply to.
  std::vector<Datagram> Pack(const std::set<ObjectKey>& aKeys,
                             const std::optional<SpreadPath>& aPath);
  void ReceiveConfirmation(const DocumentDigest& aConfirmed,
                           MonotonicTime aNow);
  void SendConfirmation(std::vector<OutgoingDatagram>& aSend);
  void Send(const std::set<ObjectKey>& aKeys,
            const std::optional<SpreadPath>& aPath,
            std::vector<OutgoingDatagram>& aSend);

  DistributionSettings m_settings;
  SpreadTopology* m_topology;
  Random* m_random;
  DocumentTable m_table;
  TokenBucket m_platformReads;
  RevisionChecks m_checks;
  /// Whether a confirmation of the platform is to be sent along a tree.
  bool m_spreadsConfirmation = false;
  DistributionCounters m_counters;
  std::set<ObjectKey> m_changed;
  /// When to send each key along a new tree, unless it arrives along a tree
  /// before that time.
  std::map<ObjectKey, MonotonicTime> m_spreadAt;
  /// The versions before those that are still to be spread.
  std::map<ObjectKey, Document> m_former;
  PatchHistory m_history;
  std::map<std::string, Revision> m_complete;
  /// When the platform last answered a read of each prefix.
  std::map<std::string, MonotonicTime> m_answeredAt;
  std::map<ObjectKey, DocumentOrigin> m_origins;
  Revision m_floor;
  std::optional<MonotonicTime> m_coldStartAt;
  /// Whether the age of this node's documents is measured since it could
  /// first read the platform's revision.
  bool m_hasStartedChecks = false;
};

} // namespace tarragontray
