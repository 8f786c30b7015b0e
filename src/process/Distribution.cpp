#include "process/Distribution.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "process/DatagramSize.h"

namespace tarragontray {

namespace {

/// The longest delay of a node that spreads a document, as a multiple of
/// m_rankDelay. Nodes of this rank and above add a random delay.
constexpr std::size_t kLastRank = 3;
/// Large documents that a pull names at most.
constexpr std::size_t kMaxHeld = 16;
/// Documents from this size on are sent as patches where that is possible.
constexpr std::size_t kLargeBytes = 1024;
/// The seed with the longest encoding, to reserve space for a path.
constexpr std::uint32_t kWidestSeed = 0xFFFFFFFF;

} // namespace

Result<Distribution>
Distribution::Create(const DistributionSettings& aSettings,
                     SpreadTopology& aTopology,
                     Random& aRandom)
{
  if (aSettings.m_platformReads <= 0 || aSettings.m_platformBurst < 1) {
    return Error(
      ErrorCode::InvalidArgument,
      "distribution.create",
      "",
      "the platform read rate must be above 0 and the burst at least 1");
  }
  return Distribution(aSettings, aTopology, aRandom);
}

Distribution::Distribution(const DistributionSettings& aSettings,
                           SpreadTopology& aTopology,
                           Random& aRandom)
  : m_settings(aSettings)
  , m_topology(&aTopology)
  , m_random(&aRandom)
  , m_table(aSettings.m_maxDocuments)
  , m_platformReads(aSettings.m_platformReads, aSettings.m_platformBurst)
  , m_checks(aSettings.m_checks, aRandom)
  , m_history(aSettings.m_history)
{
}

void
Distribution::Receive(const Datagram& aDatagram, MonotonicTime aNow)
{
  const DocumentOrigin origin{ DocumentChannel::Gossip, aDatagram.m_from, {} };
  Apply(aDatagram.m_documents, origin, aNow);
  ApplyPatches(aDatagram.m_patches, origin, aNow);
  if (aDatagram.m_confirmed) {
    ReceiveConfirmation(*aDatagram.m_confirmed, aNow);
  }
  if (!aDatagram.m_path) {
    return;
  }
  // The tree already covers the data centre, so no second one is started.
  if (aDatagram.m_digest &&
      aDatagram.m_digest->m_documents == m_table.Digest()) {
    m_spreadAt.clear();
    m_former.clear();
  }
  const auto endIfHeld = [this](const auto& aReceived) {
    const Document* held = m_table.Find(aReceived.m_key);
    if (held != nullptr && held->m_revision == aReceived.m_revision) {
      EndSpread(aReceived.m_key);
    }
  };
  std::for_each(
    aDatagram.m_documents.begin(), aDatagram.m_documents.end(), endIfHeld);
  std::for_each(
    aDatagram.m_patches.begin(), aDatagram.m_patches.end(), endIfHeld);
}

DistributionActions
Distribution::Tick(MonotonicTime aNow)
{
  DistributionActions actions;
  if (!m_coldStartAt) {
    const auto wait =
      static_cast<std::uint64_t>(m_settings.m_coldStartWait.count());
    m_coldStartAt =
      aNow + m_settings.m_coldStartWait + Duration(m_random->Below(wait + 1));
  }
  if (!m_hasStartedChecks && m_topology->RelayRank()) {
    m_hasStartedChecks = true;
    m_checks.Confirm(aNow);
  }
  std::set<ObjectKey> due;
  for (const auto& [key, time] : m_spreadAt) {
    if (time <= aNow) {
      due.insert(key);
    }
  }
  if (!due.empty()) {
    m_counters.m_spread += due.size();
    Send(due, std::nullopt, actions.m_send);
  }
  for (const ObjectKey& key : due) {
    EndSpread(key);
  }
  if (std::exchange(m_spreadsConfirmation, false)) {
    SendConfirmation(actions.m_send);
  }
  return actions;
}

MonotonicTime
Distribution::NextTick() const
{
  MonotonicTime next = MonotonicTime::max();
  for (const auto& [key, time] : m_spreadAt) {
    next = std::min(next, time);
  }
  return next;
}

void
Distribution::OfferFromPlatform(const std::vector<Document>& aDocuments,
                                Revision aComplete,
                                MonotonicTime aNow,
                                const std::string& aPrefix,
                                DocumentChannel aChannel)
{
  // A read from a stale replica must not move the watch position back.
  Revision& complete = m_complete[aPrefix];
  complete = std::max(complete, aComplete);
  KeepFormer(aDocuments);
  SpreadLater(Apply(aDocuments, { aChannel, {}, {} }, aNow), RankWait(), aNow);
  m_answeredAt[aPrefix] = aNow;
}

std::vector<Document>
Distribution::DeletionsIn(const std::vector<Document>& aListed,
                          Revision aComplete,
                          const std::string& aPrefix) const
{
  std::vector<Document> deletions;
  for (const auto& [key, held] : m_table.Documents()) {
    const bool isCovered =
      key.Value().starts_with(aPrefix) && !held.m_body.empty() &&
      held.m_revision < aComplete && EraOf(held.m_revision) == EraOf(aComplete);
    const bool isListed = std::any_of(
      aListed.begin(), aListed.end(), [&key = key](const Document& aDocument) {
        return aDocument.m_key == key;
      });
    if (isCovered && !isListed) {
      Document deletion;
      deletion.m_key = key;
      deletion.m_revision = aComplete;
      deletions.push_back(std::move(deletion));
    }
  }
  return deletions;
}

MonotonicTime
Distribution::NextRevisionCheck(MonotonicTime aNow) const
{
  // Ranking the members takes longer than the comparison.
  if (const MonotonicTime earliest = m_checks.EarliestCheck();
      aNow < earliest) {
    return earliest;
  }
  const std::optional<std::size_t> rank = m_topology->RelayRank();
  return rank ? m_checks.NextCheck(*rank) : MonotonicTime::max();
}

void
Distribution::ConfirmFromPlatform(MonotonicTime aAsOf)
{
  m_checks.Confirm(aAsOf);
  const std::optional<std::size_t> rank = m_topology->RelayRank();
  m_spreadsConfirmation = rank && *rank < RevisionChecks::kAnnouncers;
}

void
Distribution::ReceiveConfirmation(const DocumentDigest& aConfirmed,
                                  MonotonicTime aNow)
{
  const DocumentDigest mine = m_table.Digest();
  // With a higher revision of its own, this node has heard from the platform
  // after the sender.
  if (aConfirmed == mine || aConfirmed.m_highest < mine.m_highest) {
    m_checks.Confirm(aNow);
  }
}

void
Distribution::SendConfirmation(std::vector<OutgoingDatagram>& aSend)
{
  Datagram datagram;
  datagram.m_from = m_topology->SelfVm();
  datagram.m_path = m_topology->NewPath(SpreadScope::Cell);
  datagram.m_confirmed = m_table.Digest();
  for (const NetworkAddress& child : m_topology->ChildrenOf(*datagram.m_path)) {
    aSend.push_back({ child, datagram });
  }
}

DistributionActions
Distribution::OfferFromPeer(const VmId& aPeer,
                            const PulledDocuments& aPulled,
                            DocumentSource aSource,
                            const std::optional<SpreadPath>& aPath,
                            MonotonicTime aNow)
{
  DistributionActions actions;
  const bool isSpread = !aPath && aSource == DocumentSource::OtherDataCentre;
  if (isSpread) {
    KeepFormer(aPulled.m_documents);
    for (const DocumentPatch& patch : aPulled.m_patches) {
      KeepFormer(patch.m_key);
    }
  }
  const DocumentOrigin origin{ DocumentChannel::Pull, aPeer, {} };
  std::set<ObjectKey> changed = Apply(aPulled.m_documents, origin, aNow);
  changed.merge(ApplyPatches(aPulled.m_patches, origin, aNow));
  if (changed.empty()) {
    return actions;
  }
  if (aPath) {
    Send(changed, aPath, actions.m_send);
  } else if (isSpread) {
    // Several nodes may pull at the same time; the first tree ends the wait of
    // the others.
    const auto longest =
      static_cast<std::uint64_t>(m_settings.m_rankDelay.count());
    SpreadLater(changed, Duration(m_random->Below(longest + 1)), aNow);
  }
  return actions;
}

PulledDocuments
Distribution::DocumentsFor(const PullRequest& aRequest) const
{
  PulledDocuments pulled;
  for (Document& document :
       m_table.Differing(*aRequest.m_documents, m_settings.m_maxAnswer)) {
    const auto held = std::find_if(
      aRequest.m_held.begin(),
      aRequest.m_held.end(),
      [&](const HeldDocument& aHeld) { return aHeld.m_key == document.m_key; });
    std::vector<DocumentPatch> patches;
    if (held != aRequest.m_held.end()) {
      patches = m_history.Between(
        document.m_key, held->m_revision, document.m_revision);
    }
    if (patches.empty()) {
      pulled.m_documents.push_back(std::move(document));
    } else {
      std::move(
        patches.begin(), patches.end(), std::back_inserter(pulled.m_patches));
    }
  }
  return pulled;
}

std::vector<HeldDocument>
Distribution::HeldLarge() const
{
  std::vector<HeldDocument> held;
  if (!m_settings.m_patches) {
    return held;
  }
  for (const auto& [key, document] : m_table.Documents()) {
    if (document.m_body.size() >= kLargeBytes && held.size() < kMaxHeld) {
      held.push_back({ key, document.m_revision });
    }
  }
  return held;
}

bool
Distribution::WantsWatch(MonotonicTime aNow, const WatchedPrefix& aPrefix)
{
  if (m_settings.m_listsAtStart && WatchAfter(aPrefix.m_keys) == Revision(0)) {
    return true;
  }
  if (const auto rank = m_topology->WatchRank()) {
    const auto rankInCell = m_topology->RelayRank();
    return *rank < aPrefix.m_watchers ||
           (rankInCell && *rankInCell < aPrefix.m_cellWatchers);
  }
  return m_table.Documents().empty() && m_coldStartAt && aNow >= *m_coldStartAt;
}

bool
Distribution::TakePlatformRead(MonotonicTime aNow)
{
  if (!m_platformReads.Take(1.0, aNow)) {
    ++m_counters.m_platformReadsDeferred;
    return false;
  }
  ++m_counters.m_platformReads;
  return true;
}

bool
Distribution::HasNewerThanPlatform(const std::string& aPrefix) const
{
  const Revision complete = WatchAfter(aPrefix);
  const auto& documents = m_table.Documents();
  return std::any_of(
    documents.begin(), documents.end(), [&](const auto& aEntry) {
      return aEntry.second.m_revision > complete &&
             aEntry.first.Value().starts_with(aPrefix);
    });
}

std::vector<Document>
Distribution::TakeChanged()
{
  std::vector<Document> documents;
  for (auto key = m_changed.begin(); key != m_changed.end();) {
    if (IsDeferred(*key)) {
      ++key;
      continue;
    }
    documents.push_back(*m_table.Find(*key));
    key = m_changed.erase(key);
  }
  return documents;
}

bool
Distribution::HasChanged() const
{
  return std::any_of(
    m_changed.begin(), m_changed.end(), [this](const ObjectKey& aKey) {
      return !IsDeferred(aKey);
    });
}

bool
Distribution::IsNews(const Document& aDocument) const
{
  const Document* held = m_table.Find(aDocument.m_key);
  return held == nullptr || Supersedes(aDocument.Stamp(), held->Stamp());
}

const DocumentOrigin*
Distribution::OriginOf(const ObjectKey& aKey) const
{
  const auto found = m_origins.find(aKey);
  return found == m_origins.end() ? nullptr : &found->second;
}

std::optional<Duration>
Distribution::PlatformAge(const ObjectKey& aKey, MonotonicTime aNow) const
{
  std::optional<Duration> age;
  for (const auto& [prefix, time] : m_answeredAt) {
    if (aKey.Value().starts_with(prefix)) {
      age = std::min(age.value_or(aNow - time), aNow - time);
    }
  }
  return age;
}

std::set<ObjectKey>
Distribution::Apply(const std::vector<Document>& aDocuments,
                    DocumentOrigin aOrigin,
                    MonotonicTime aNow)
{
  std::set<ObjectKey> changed;
  for (const Document& document : aDocuments) {
    if (m_table.Apply(document)) {
      aOrigin.m_platformAge = PlatformAge(document.m_key, aNow);
      m_origins[document.m_key] = aOrigin;
      changed.insert(document.m_key);
      m_changed.insert(document.m_key);
    } else {
      ++m_counters.m_stale;
    }
  }
  return changed;
}

std::set<ObjectKey>
Distribution::ApplyPatches(const std::vector<DocumentPatch>& aPatches,
                           const DocumentOrigin& aOrigin,
                           MonotonicTime aNow)
{
  std::set<ObjectKey> changed;
  for (const DocumentPatch& patch : aPatches) {
    const Document* held = m_table.Find(patch.m_key);
    if (held == nullptr || !m_settings.m_patches) {
      ++m_counters.m_patchesRejected;
      continue;
    }
    if (held->m_revision == patch.m_revision) {
      m_history.Add(patch);
      ++m_counters.m_stale;
      continue;
    }
    const Result<Document> document =
      ApplyPatch(*m_settings.m_patches, patch, *held);
    if (!document) {
      ++m_counters.m_patchesRejected;
      continue;
    }
    m_history.Add(patch);
    ++m_counters.m_patched;
    changed.merge(Apply({ document.value() }, aOrigin, aNow));
  }
  return changed;
}

void
Distribution::KeepFormer(const std::vector<Document>& aDocuments)
{
  for (const Document& document : aDocuments) {
    if (IsNews(document)) {
      KeepFormer(document.m_key);
    }
  }
}

void
Distribution::KeepFormer(const ObjectKey& aKey)
{
  const Document* held = m_table.Find(aKey);
  if (m_settings.m_patches && held != nullptr &&
      held->m_body.size() >= kLargeBytes) {
    m_former.try_emplace(aKey, *held);
  }
}

Duration
Distribution::RankWait()
{
  const std::size_t rank =
    std::min(m_topology->WatchRank().value_or(kLastRank), kLastRank);
  Duration wait = m_settings.m_rankDelay * static_cast<std::int64_t>(rank);
  if (rank == kLastRank) {
    wait += Duration(m_random->Below(
      static_cast<std::uint64_t>(m_settings.m_rankDelay.count()) + 1));
  }
  return wait;
}

void
Distribution::SpreadLater(const std::set<ObjectKey>& aKeys,
                          Duration aWait,
                          MonotonicTime aNow)
{
  for (const ObjectKey& key : aKeys) {
    m_spreadAt.try_emplace(key, aNow + aWait);
  }
}

void
Distribution::EndSpread(const ObjectKey& aKey)
{
  m_spreadAt.erase(aKey);
  m_former.erase(aKey);
}

std::optional<DocumentPatch>
Distribution::PatchFor(const Document& aDocument)
{
  const auto former = m_former.find(aDocument.m_key);
  if (former == m_former.end() || aDocument.m_body.empty()) {
    return std::nullopt;
  }
  Result<DocumentPatch> patch =
    MakePatch(*m_settings.m_patches, former->second, aDocument);
  if (!patch) {
    return std::nullopt;
  }
  m_history.Add(patch.value());
  return std::move(patch.value());
}

std::vector<Datagram>
Distribution::Pack(const std::set<ObjectKey>& aKeys,
                   const std::optional<SpreadPath>& aPath)
{
  Datagram empty;
  empty.m_from = m_topology->SelfVm();
  empty.m_path = aPath.value_or(
    SpreadPath{ m_topology->SelfVm(), kWidestSeed, SpreadScope::DataCentre });
  std::vector<Datagram> datagrams{ empty };
  bool isAnyLarge = false;
  // Reserves space for the digest in each datagram, since any of them may be
  // the last one.
  empty.m_digest = StateDigest{ kWidestSeed, m_table.Digest(), kWidestSeed };
  const DatagramSize emptySize(empty);
  DatagramSize size = emptySize;
  const auto add = [&](const auto& aItem, auto aItems) {
    if (size.With(aItem) > kMaxDatagramBytes) {
      datagrams.push_back(datagrams.front());
      datagrams.back().m_documents.clear();
      datagrams.back().m_patches.clear();
      size = emptySize;
    }
    size.Add(aItem);
    (datagrams.back().*aItems).push_back(aItem);
  };
  for (const ObjectKey& key : aKeys) {
    const Document& document = *m_table.Find(key);
    if (emptySize.With(document) <= kMaxDatagramBytes) {
      add(document, &Datagram::m_documents);
      continue;
    }
    isAnyLarge = true;
    const std::optional<DocumentPatch> patch = PatchFor(document);
    if (patch && emptySize.With(*patch) <= kMaxDatagramBytes) {
      add(*patch, &Datagram::m_patches);
    }
  }
  if (isAnyLarge) {
    datagrams.back().m_digest.emplace().m_documents = m_table.Digest();
  }
  if (!aPath) {
    for (Datagram& datagram : datagrams) {
      datagram.m_path = m_topology->NewPath(SpreadScope::DataCentre);
    }
  }
  return datagrams;
}

void
Distribution::Send(const std::set<ObjectKey>& aKeys,
                   const std::optional<SpreadPath>& aPath,
                   std::vector<OutgoingDatagram>& aSend)
{
  for (Datagram& datagram : Pack(aKeys, aPath)) {
    for (const NetworkAddress& child :
         m_topology->ChildrenOf(*datagram.m_path)) {
      aSend.push_back({ child, datagram });
    }
  }
}

} // namespace tarragontray
