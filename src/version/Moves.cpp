#include "version/Moves.h"

#include <utility>

namespace tarragontray {

namespace {

Error
SettingsError(std::string aDetail)
{
  return Error(
    ErrorCode::InvalidArgument, "moves.create", "", std::move(aDetail));
}

} // namespace

Result<Moves>
Moves::Create(MovesSettings aSettings, std::unique_ptr<MovePolicy> aPolicy)
{
  if (aSettings.m_vm.IsEmpty() || aSettings.m_dataCentre.IsEmpty()) {
    return SettingsError("the VM and its data centre must be set, got VM \"" +
                         aSettings.m_vm.Value() + "\" and data centre \"" +
                         aSettings.m_dataCentre.Value() + "\"");
  }
  if (!aPolicy) {
    return SettingsError("the move policy must not be null");
  }
  if (aSettings.m_windowInterval <= Duration::zero() ||
      aSettings.m_reportInterval <= Duration::zero() ||
      aSettings.m_refreshInterval <= Duration::zero()) {
    return SettingsError(
      "the window, report and refresh intervals must be positive");
  }
  return Moves(std::move(aSettings), std::move(aPolicy));
}

Moves::Moves(MovesSettings aSettings, std::unique_ptr<MovePolicy> aPolicy)
  : m_settings(std::make_unique<const MovesSettings>(std::move(aSettings)))
  , m_policy(std::move(aPolicy))
{
}

Moves::Record*
Moves::FindOrCreate(const MoveId& aMove, MonotonicTime aNow)
{
  const auto found = m_records.find(aMove);
  if (found != m_records.end()) {
    return &found->second;
  }
  if (m_records.size() >= m_settings->m_maxMoves && !EvictEnded()) {
    ++m_rejectedCount;
    return nullptr;
  }
  Record& record = m_records[aMove];
  record.m_progress.m_move = aMove;
  record.m_lastInForce = aNow;
  return &record;
}

bool
Moves::EvictEnded()
{
  auto oldest = m_records.end();
  for (auto it = m_records.begin(); it != m_records.end(); ++it) {
    const Record& record = it->second;
    if (!record.m_isInForce &&
        (oldest == m_records.end() ||
         record.m_lastInForce < oldest->second.m_lastInForce)) {
      oldest = it;
    }
  }
  if (oldest == m_records.end()) {
    return false;
  }
  m_records.erase(oldest);
  return true;
}

Move*
Moves::FindInForce(const MoveId& aMove)
{
  const auto found = m_records.find(aMove);
  const bool isInForce = found != m_records.end() && found->second.m_isInForce;
  return isInForce ? found->second.m_move.get() : nullptr;
}

void
Moves::PutInForce(const MovePlan& aPlan, MonotonicTime aNow)
{
  Record* const record = FindOrCreate(aPlan.m_id, aNow);
  if (record == nullptr) {
    return;
  }
  if (!record->m_move || record->m_move->Plan() != aPlan) {
    if (record->m_move) {
      Merge(record->m_progress, record->m_move->Progress());
    }
    record->m_move = std::make_unique<Move>(aPlan, *m_settings, *m_policy);
    record->m_move->SetDataCentres(m_dataCentres);
    record->m_move->SetNodeCount(m_nodeCount);
    record->m_move->MergeProgress(record->m_progress);
  }
  m_plansChanged |= !record->m_isInForce;
  record->m_isInForce = true;
  record->m_lastInForce = aNow;
  m_inForce[aPlan.m_id.m_service] = aPlan.m_id;
}

void
Moves::SetPlans(const std::vector<MovePlan>& aPlans, MonotonicTime aNow)
{
  std::map<ServiceId, MovePlan> newest;
  for (const MovePlan& plan : aPlans) {
    const auto [known, isNew] = newest.try_emplace(plan.m_id.m_service, plan);
    if (!isNew && known->second.m_id < plan.m_id) {
      known->second = plan;
    }
  }
  m_inForce.clear();
  for (auto& [id, record] : m_records) {
    const auto plan = newest.find(id.m_service);
    const bool isRetained = plan != newest.end() && plan->second.m_id == id;
    if (record.m_isInForce && !isRetained) {
      record.m_isInForce = false;
      record.m_lastInForce = aNow;
      record.m_move->SetIsCoordinator(false);
      m_plansChanged = true;
    }
  }
  for (const auto& [service, plan] : newest) {
    PutInForce(plan, aNow);
  }
}

void
Moves::SetDataCentres(std::set<DataCentreId> aDataCentres)
{
  m_dataCentres = std::move(aDataCentres);
  for (auto& [id, record] : m_records) {
    if (record.m_move) {
      record.m_move->SetDataCentres(m_dataCentres);
    }
  }
}

void
Moves::SetNodeCount(std::size_t aNodes)
{
  m_nodeCount = aNodes;
  for (auto& [id, record] : m_records) {
    if (record.m_move) {
      record.m_move->SetNodeCount(aNodes);
    }
  }
}

void
Moves::SetIsCoordinator(const MoveId& aMove, bool aIsCoordinator)
{
  if (Move* const move = FindInForce(aMove)) {
    move->SetIsCoordinator(aIsCoordinator);
  }
}

void
Moves::SetWarmSlots(const MoveId& aMove, SlotCount aOldWarm, SlotCount aNewWarm)
{
  if (Move* const move = FindInForce(aMove)) {
    move->SetWarmSlots(WarmSlots{ aOldWarm, aNewWarm });
  }
}

void
Moves::AddObservation(const LocalObservation& aObservation)
{
  const auto id = m_inForce.find(aObservation.m_service);
  if (id == m_inForce.end()) {
    return;
  }
  if (Move* const move = FindInForce(id->second)) {
    move->AddObservation(aObservation);
  }
}

void
Moves::AddReport(const EvidenceReport& aReport, MonotonicTime aNow)
{
  if (Move* const move = FindInForce(aReport.m_move)) {
    move->AddReport(aReport, aNow);
  }
}

bool
Moves::MergeProgress(const MoveProgress& aProgress, MonotonicTime aNow)
{
  Record* const record = FindOrCreate(aProgress.m_move, aNow);
  if (record == nullptr) {
    return false;
  }
  return record->m_move ? record->m_move->MergeProgress(aProgress)
                        : Merge(record->m_progress, aProgress);
}

void
Moves::AcknowledgeOutcome(const MoveId& aMove)
{
  if (Move* const move = FindInForce(aMove)) {
    move->AcknowledgeOutcome();
  }
}

void
Moves::Expire(MonotonicTime aNow)
{
  std::erase_if(m_records, [&](const auto& aEntry) {
    const Record& record = aEntry.second;
    return !record.m_isInForce &&
           aNow - record.m_lastInForce > m_settings->m_retention;
  });
}

MoveActions
Moves::Tick(MonotonicTime aNow, WallTime aWall)
{
  MoveActions actions;
  actions.m_splitsChanged = std::exchange(m_plansChanged, false);
  m_lastTick = aNow;
  // Truncated to microseconds, the resolution of wall times on the wire.
  const Times times{ aNow,
                     std::chrono::floor<std::chrono::microseconds>(aWall) };
  for (auto& [id, record] : m_records) {
    if (record.m_isInForce) {
      record.m_move->Tick(times, actions);
    }
  }
  Expire(aNow);
  return actions;
}

std::optional<MonotonicTime>
Moves::NextTick() const
{
  if (m_records.empty()) {
    return std::nullopt;
  }
  return m_lastTick + m_settings->m_windowInterval;
}

std::optional<VersionSplit>
Moves::SplitOf(const ServiceId& aService) const
{
  const auto id = m_inForce.find(aService);
  if (id == m_inForce.end()) {
    return std::nullopt;
  }
  return m_records.at(id->second).m_move->Split();
}

std::vector<MoveStatus>
Moves::Status(WallTime aWall) const
{
  std::vector<MoveStatus> all;
  for (const auto& [id, record] : m_records) {
    if (record.m_isInForce) {
      all.push_back(record.m_move->Status(aWall));
    }
  }
  return all;
}

std::vector<MoveProgress>
Moves::AllProgress() const
{
  std::vector<MoveProgress> all;
  for (const auto& [id, record] : m_records) {
    all.push_back(record.m_move ? record.m_move->Progress()
                                : record.m_progress);
  }
  return all;
}

} // namespace tarragontray
