/// \file
/// The orders to move traffic that this node knows of, and what they mean now:
/// a plan while a move is to run, a fixed split once its outcome is recorded.
///
///     MoveOrders orders(decoder);
///     if (orders.Offer(documents, wall)) {
///       moves.SetPlans(orders.Plans(), now);
///     }
///     std::optional<VersionSplit> split = orders.EndedSplit(service);
///
/// Thread safety: one thread (control).
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"
#include "version/ConfigurationDecoder.h"
#include "version/Document.h"
#include "version/MoveOrder.h"
#include "version/MovePlan.h"
#include "version/VersionSplit.h"

namespace tarragontray {

class MoveOrders
{
public:
  /// Precondition: aDecoder outlives the orders.
  explicit MoveOrders(const ConfigurationDecoder& aDecoder)
    : m_decoder(aDecoder)
  {
  }

  /// Takes documents in; other keys than orders' are ignored, an empty body
  /// withdraws an order. One that does not decode changes nothing.
  /// \return true when an order changed.
  bool Offer(const std::vector<Document>& aDocuments, WallTime aWall);

  /// The plans of orders whose outcome is not recorded.
  std::vector<MovePlan> Plans() const;
  /// Of a service whose last order has ended: only the new version after a
  /// move that is done, all but it after one that was taken back.
  std::optional<VersionSplit> EndedSplit(const ServiceId& aService) const;
  /// The revision of the order's object, for a conditional write of what
  /// became of the move; not set when there is no such order.
  std::optional<Revision> RevisionOf(const MoveId& aMove) const;
  /// What the order's object says of the move.
  std::optional<MoveState> Recorded(const MoveId& aMove) const;
  /// Documents that did not decode.
  std::uint64_t Rejected() const { return m_rejected; }
  /// Why the last of them did not.
  const std::optional<Error>& LastRejection() const { return m_lastRejection; }

private:
  struct OrderEntry
  {
    MoveOrder m_order;
    Revision m_revision;
    WallTime m_start{};
  };

  /// Part of the time that is kept for the watch after the last step.
  static constexpr int kHoldDivisor = 8;

  const OrderEntry* Find(const MoveId& aMove) const;

  const ConfigurationDecoder& m_decoder;
  std::map<ServiceId, OrderEntry> m_orders;
  std::uint64_t m_rejected = 0;
  std::optional<Error> m_lastRejection;
};

} // namespace tarragontray
