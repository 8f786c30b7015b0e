#include "process/MoveOrders.h"

#include <utility>

#include "version/ObjectKeys.h"

namespace tarragontray {

namespace {

bool
HasEnded(const MoveOrder& aOrder)
{
  return aOrder.m_recorded == MoveState::Done ||
         aOrder.m_recorded == MoveState::TakenBack;
}

/// Whether the order goes back to the version that carried all calls before it.
bool
IsReturn(const MoveOrder& aOrder)
{
  return !aOrder.m_base.m_from.IsEmpty() &&
         aOrder.m_to == aOrder.m_base.m_from && !HasEnded(aOrder);
}

/// The version that carries the calls that don't go to the order's version.
/// Only when other versions must be kept from them; otherwise every version may
/// carry them.
UpstreamVersion
FromVersionOf(const MoveOrder& aOrder)
{
  return aOrder.m_base.m_unproven.empty() ? UpstreamVersion()
                                          : aOrder.m_base.m_from;
}

} // namespace

void
MoveOrders::Complete(MoveOrder& aOrder,
                     const OrderEntry& aFormer,
                     Revision aRevision)
{
  const MoveOrder& former = aFormer.m_order;
  if (aOrder.HasRecord()) {
    // The recording node may not have known the version.
    if (aOrder.m_id == former.m_id && aOrder.m_base.m_from.IsEmpty()) {
      aOrder.m_base.m_from = former.m_base.m_from;
    }
    return;
  }
  const bool wasRestored = EraOf(aFormer.m_revision) != EraOf(aRevision);
  if (wasRestored && aOrder.m_to == former.m_to &&
      aOrder.m_request == former.m_request) {
    // A copy of the order, or the order written again.
    aOrder.m_id = former.m_id;
  }
  if (aOrder.m_id == former.m_id) {
    aOrder.m_base = former.m_base;
  } else if (!aOrder.m_recordOf || *aOrder.m_recordOf < former.m_id.m_plan ||
             (aOrder.m_recordOf == former.m_id.m_plan &&
              aOrder.m_base.m_from.IsEmpty())) {
    aOrder.m_base = NextBase(former.m_base, former.m_to, former.m_recorded);
  }
}

bool
MoveOrders::Offer(const std::vector<Document>& aDocuments, WallTime aWall)
{
  bool isChanged = false;
  for (const Document& document : aDocuments) {
    const auto service = ServiceOfOrderKey(document.m_key);
    if (!service) {
      continue;
    }
    if (document.m_body.empty()) {
      isChanged |= m_orders.erase(*service) > 0;
      continue;
    }
    Result<MoveOrder> decoded = m_decoder.DecodeOrder(document);
    if (!decoded) {
      ++m_rejected;
      m_lastRejection = decoded.error();
      continue;
    }
    MoveOrder& order = decoded.value();
    OrderEntry& entry = m_orders[*service];
    const bool isFirst = entry.m_revision == Revision(0);
    if (!isFirst) {
      Complete(order, entry, document.m_revision);
    }
    const bool isSame = !isFirst && entry.m_order.m_id == order.m_id;
    const bool wasRestored =
      entry.m_isOutcomeLost ||
      EraOf(entry.m_revision) != EraOf(document.m_revision);
    entry.m_isOutcomeLost =
      isSame && wasRestored && HasEnded(entry.m_order) && !HasEnded(order);
    const std::optional<MoveState> ended = entry.m_order.m_recorded;
    if (!isSame) {
      entry.m_start = order.m_start.value_or(aWall);
    }
    entry.m_revision = document.m_revision;
    entry.m_order = std::move(order);
    if (entry.m_isOutcomeLost) {
      entry.m_order.m_recorded = ended;
    }
    isChanged = true;
  }
  return isChanged;
}

std::vector<MovePlan>
MoveOrders::Plans() const
{
  std::vector<MovePlan> plans;
  for (const auto& [service, entry] : m_orders) {
    if (HasEnded(entry.m_order) || IsReturn(entry.m_order)) {
      continue;
    }
    plans.push_back(PlanOf(entry));
  }
  return plans;
}

MovePlan
MoveOrders::PlanOf(const OrderEntry& aEntry)
{
  MovePlan plan;
  plan.m_id = aEntry.m_order.m_id;
  plan.m_from = FromVersionOf(aEntry.m_order);
  plan.m_to = aEntry.m_order.m_to;
  plan.m_start = aEntry.m_start;
  plan.m_deadline = aEntry.m_start + aEntry.m_order.m_duration;
  plan.m_hold = aEntry.m_order.m_duration / kHoldDivisor;
  return plan;
}

std::vector<UnrecordedEnd>
MoveOrders::UnrecordedEnds() const
{
  std::vector<UnrecordedEnd> ends;
  for (const auto& [service, entry] : m_orders) {
    if (entry.m_isOutcomeLost) {
      ends.push_back({ PlanOf(entry), *entry.m_order.m_recorded, "" });
    } else if (IsReturn(entry.m_order)) {
      ends.push_back({ PlanOf(entry),
                       MoveState::Done,
                       "the version carried all calls before" });
    }
  }
  return ends;
}

const MoveOrder*
MoveOrders::OrderOf(const MoveId& aMove) const
{
  const OrderEntry* entry = Find(aMove);
  return entry == nullptr ? nullptr : &entry->m_order;
}

void
MoveOrders::NameBase(const MoveId& aMove, const UpstreamVersion& aFrom)
{
  const auto found = m_orders.find(aMove.m_service);
  if (found != m_orders.end() && found->second.m_order.m_id == aMove &&
      found->second.m_order.m_base.m_from.IsEmpty()) {
    found->second.m_order.m_base.m_from = aFrom;
  }
}

std::optional<VersionSplit>
MoveOrders::EndedSplit(const ServiceId& aService) const
{
  const auto found = m_orders.find(aService);
  if (found == m_orders.end()) {
    return std::nullopt;
  }
  VersionSplit split;
  const MoveOrder& order = found->second.m_order;
  if (order.m_recorded == MoveState::Done || IsReturn(order)) {
    split.m_from = order.m_to;
  } else if (order.m_recorded == MoveState::TakenBack) {
    split.m_from = FromVersionOf(order);
    split.m_to = order.m_to;
  } else {
    return std::nullopt;
  }
  return split;
}

const MoveOrders::OrderEntry*
MoveOrders::Find(const MoveId& aMove) const
{
  const auto found = m_orders.find(aMove.m_service);
  const bool isFound =
    found != m_orders.end() && found->second.m_order.m_id == aMove;
  return isFound ? &found->second : nullptr;
}

std::optional<Revision>
MoveOrders::RevisionOf(const MoveId& aMove) const
{
  const OrderEntry* entry = Find(aMove);
  return entry == nullptr ? std::nullopt : std::optional(entry->m_revision);
}

std::optional<MoveState>
MoveOrders::Recorded(const MoveId& aMove) const
{
  const OrderEntry* entry = Find(aMove);
  return entry == nullptr ? std::nullopt : entry->m_order.m_recorded;
}

} // namespace tarragontray
