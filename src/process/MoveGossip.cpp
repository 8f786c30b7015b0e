#include "process/MoveGossip.h"

#include <algorithm>
#include <string>
#include <utility>

#include "base/Hash.h"
#include "process/DatagramLayout.h"
#include "process/DatagramSize.h"

namespace tarragontray {

namespace {

/// A sink for process/DatagramLayout.h that hashes the encoded fields.
class HashingSink
{
public:
  void Number(std::uint64_t aNumber)
  {
    m_bytes += std::to_string(aNumber);
    m_bytes += ' ';
  }
  void Text(const std::string& aText)
  {
    Number(aText.size());
    m_bytes += aText;
  }
  void Shared(const std::string& aText) { Text(aText); }
  std::uint32_t Hash() const
  {
    return static_cast<std::uint32_t>(StableHash(m_bytes));
  }

private:
  std::string m_bytes;
};

std::uint32_t
HashOf(const MoveProgress& aProgress)
{
  HashingSink sink;
  Layout(sink, aProgress);
  return sink.Hash();
}

} // namespace

MoveGossip::MoveGossip(const MoveGossipSettings& aSettings,
                       SpreadTopology& aTopology)
  : m_settings(aSettings)
  , m_topology(&aTopology)
{
}

void
MoveGossip::SetCurrent(const MoveId& aMove)
{
  m_retired.erase(aMove);
  const auto found = m_moves.find(aMove.m_service);
  if (found == m_moves.end() ||
      found->second.m_progress.m_move.m_plan <= aMove.m_plan) {
    return;
  }
  MoveProgress& held = found->second.m_progress;
  if (m_retired.size() >= kMaxRetired) {
    m_retired.erase(m_retired.begin());
  }
  m_retired.insert(held.m_move);
  m_digest ^= HashOf(held);
  held = MoveProgress();
  held.m_move = aMove;
  m_digest ^= HashOf(held);
}

bool
MoveGossip::Offer(const MoveProgress& aProgress, MonotonicTime aNow)
{
  if (!Join(aProgress)) {
    return false;
  }
  ScheduleSpread(aProgress.m_move.m_service, aNow);
  return true;
}

void
MoveGossip::Merge(const std::vector<MoveProgress>& aMoves,
                  ProgressSource aSource,
                  MonotonicTime aNow)
{
  for (const MoveProgress& progress : aMoves) {
    if (Join(progress) && aSource == ProgressSource::OtherDataCentre) {
      ScheduleSpread(progress.m_move.m_service, aNow);
    }
  }
}

void
MoveGossip::ScheduleSpread(const ServiceId& aService, MonotonicTime aNow)
{
  const Entry& entry = m_moves.at(aService);
  MonotonicTime due = aNow;
  if (!entry.m_progress.m_veto) {
    due = std::max(aNow, entry.m_spreadAt + m_settings.m_minSpread);
  }
  const auto [waiting, isNew] = m_scheduled.try_emplace(aService, due);
  waiting->second = std::min(waiting->second, due);
}

std::vector<OutgoingDatagram>
MoveGossip::Tick(MonotonicTime aNow)
{
  std::vector<OutgoingDatagram> send;
  for (auto waiting = m_scheduled.begin(); waiting != m_scheduled.end();) {
    if (waiting->second > aNow) {
      ++waiting;
      continue;
    }
    Entry& entry = m_moves.at(waiting->first);
    entry.m_spreadAt = aNow;
    for (OutgoingDatagram& outgoing : Send(entry.m_progress)) {
      send.push_back(std::move(outgoing));
    }
    waiting = m_scheduled.erase(waiting);
  }
  return send;
}

MonotonicTime
MoveGossip::NextTick() const
{
  MonotonicTime next = MonotonicTime::max();
  for (const auto& [service, time] : m_scheduled) {
    next = std::min(next, time);
  }
  return next;
}

void
MoveGossip::Fill(Datagram& aDatagram)
{
  if (m_pendingUpdates.IsEmpty()) {
    return;
  }
  DatagramSize size(aDatagram);
  m_pendingUpdates.Take([&](const ServiceId& aService) {
    const MoveProgress& progress = m_moves.at(aService).m_progress;
    if (size.With(progress) > m_settings.m_probeBytes) {
      return false;
    }
    size.Add(progress);
    aDatagram.m_moves.push_back(progress);
    return true;
  });
}

const MoveProgress*
MoveGossip::Find(const MoveId& aMove) const
{
  const auto found = m_moves.find(aMove.m_service);
  const bool isKnown = found != m_moves.end() &&
                       found->second.m_progress.m_move.m_plan == aMove.m_plan;
  return isKnown ? &found->second.m_progress : nullptr;
}

std::vector<MoveProgress>
MoveGossip::TakeChanged()
{
  std::vector<MoveProgress> changed;
  for (const ServiceId& service : std::exchange(m_changed, {})) {
    changed.push_back(m_moves.at(service).m_progress);
  }
  return changed;
}

std::vector<MoveProgress>
MoveGossip::MovesFor(std::uint32_t aTheirs) const
{
  std::vector<MoveProgress> moves;
  if (aTheirs != m_digest) {
    for (const auto& [service, entry] : m_moves) {
      moves.push_back(entry.m_progress);
    }
  }
  return moves;
}

bool
MoveGossip::Join(const MoveProgress& aProgress)
{
  const ServiceId& service = aProgress.m_move.m_service;
  if (m_retired.contains(aProgress.m_move)) {
    return false;
  }
  const auto found = m_moves.find(service);
  if (found == m_moves.end()) {
    if (m_moves.size() >= m_settings.m_maxServices) {
      ++m_refused;
      return false;
    }
    m_moves[service].m_progress = aProgress;
  } else {
    MoveProgress& held = found->second.m_progress;
    const std::uint32_t before = HashOf(held);
    if (aProgress.m_move.m_plan < held.m_move.m_plan) {
      return false;
    }
    if (aProgress.m_move.m_plan > held.m_move.m_plan) {
      held = aProgress;
    } else if (!tarragontray::Merge(held, aProgress)) {
      return false;
    }
    m_digest ^= before;
  }
  m_digest ^= HashOf(m_moves.at(service).m_progress);
  m_pendingUpdates.Add(service, m_settings.m_retransmits);
  m_changed.insert(service);
  return true;
}

std::vector<OutgoingDatagram>
MoveGossip::Send(const MoveProgress& aProgress)
{
  Datagram datagram;
  datagram.m_from = m_topology->SelfVm();
  datagram.m_path = m_topology->NewPath(SpreadScope::Cell);
  datagram.m_moves.push_back(aProgress);
  std::vector<OutgoingDatagram> send;
  for (const NetworkAddress& child : m_topology->ChildrenOf(*datagram.m_path)) {
    send.push_back({ child, datagram });
  }
  return send;
}

} // namespace tarragontray
