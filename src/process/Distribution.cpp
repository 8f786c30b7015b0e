#include "process/Distribution.h"

#include <algorithm>
#include <utility>

#include "process/DatagramSize.h"

namespace tarragontray {

namespace {

/// The delay of a node that is not a relay, as a multiple of m_rankDelay.
constexpr std::size_t kLastRank = 3;
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
{
}

void
Distribution::Receive(const Datagram& aDatagram, MonotonicTime aNow)
{
  Apply(aDatagram.m_documents,
        { DocumentChannel::Gossip, aDatagram.m_from, {} },
        aNow);
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
  }
  for (const Document& document : aDatagram.m_documents) {
    const Document* held = m_table.Find(document.m_key);
    if (held != nullptr && held->m_revision == document.m_revision) {
      m_spreadAt.erase(document.m_key);
    }
  }
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
  std::set<ObjectKey> due;
  for (const auto& [key, time] : m_spreadAt) {
    if (time <= aNow) {
      due.insert(key);
    }
  }
  for (const ObjectKey& key : due) {
    m_spreadAt.erase(key);
  }
  if (!due.empty()) {
    m_counters.m_spread += due.size();
    Send(due, std::nullopt, actions.m_send);
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
  SpreadLater(Apply(aDocuments, { aChannel, {}, {} }, aNow), aNow);
  m_answeredAt[aPrefix] = aNow;
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
  datagram.m_path = m_topology->NewPath();
  datagram.m_confirmed = m_table.Digest();
  for (const NetworkAddress& child : m_topology->ChildrenOf(*datagram.m_path)) {
    aSend.push_back({ child, datagram });
  }
}

DistributionActions
Distribution::OfferFromPeer(const VmId& aPeer,
                            const std::vector<Document>& aDocuments,
                            DocumentSource aSource,
                            const std::optional<SpreadPath>& aPath,
                            MonotonicTime aNow)
{
  DistributionActions actions;
  const std::set<ObjectKey> changed =
    Apply(aDocuments, { DocumentChannel::Pull, aPeer, {} }, aNow);
  if (changed.empty()) {
    return actions;
  }
  if (aPath) {
    Send(changed, aPath, actions.m_send);
  } else if (aSource == DocumentSource::OtherDataCentre) {
    SpreadLater(changed, aNow);
  }
  return actions;
}

bool
Distribution::WantsWatch(MonotonicTime aNow, const WatchedPrefix& aPrefix)
{
  if (const auto rank = m_topology->RelayRank()) {
    return *rank < aPrefix.m_watchers ||
           WatchAfter(aPrefix.m_keys) == Revision(0);
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

void
Distribution::SpreadLater(const std::set<ObjectKey>& aKeys, MonotonicTime aNow)
{
  if (aKeys.empty()) {
    return;
  }
  const std::optional<std::size_t> rank = m_topology->RelayRank();
  Duration wait = m_settings.m_rankDelay *
                  static_cast<std::int64_t>(rank.value_or(kLastRank));
  if (!rank) {
    wait += Duration(m_random->Below(
      static_cast<std::uint64_t>(m_settings.m_rankDelay.count()) + 1));
  }
  for (const ObjectKey& key : aKeys) {
    m_spreadAt.try_emplace(key, aNow + wait);
  }
}

std::vector<Datagram>
Distribution::Pack(const std::set<ObjectKey>& aKeys,
                   const std::optional<SpreadPath>& aPath)
{
  Datagram empty;
  empty.m_from = m_topology->SelfVm();
  empty.m_path =
    aPath.value_or(SpreadPath{ m_topology->SelfVm(), kWidestSeed });
  std::vector<Datagram> datagrams{ empty };
  bool isAnyLarge = false;
  // Reserves space for the digest in each datagram, since any of them may be
  // the last one.
  empty.m_digest = StateDigest{ kWidestSeed, m_table.Digest(), kWidestSeed };
  const DatagramSize emptySize(empty);
  DatagramSize size = emptySize;
  for (const ObjectKey& key : aKeys) {
    const Document& document = *m_table.Find(key);
    if (emptySize.With(document) > kMaxDatagramBytes) {
      isAnyLarge = true;
      continue;
    }
    if (size.With(document) > kMaxDatagramBytes) {
      datagrams.push_back(datagrams.front());
      datagrams.back().m_documents.clear();
      size = emptySize;
    }
    size.Add(document);
    datagrams.back().m_documents.push_back(document);
  }
  if (isAnyLarge) {
    datagrams.back().m_digest.emplace().m_documents = m_table.Digest();
  }
  if (!aPath) {
    for (Datagram& datagram : datagrams) {
      datagram.m_path = m_topology->NewPath();
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
