/// \file
/// The newest order of each service to move its traffic to another version.
///
/// An order yields a move plan until its outcome is recorded in the order's
/// object, and a fixed version split from then on. An order to go back to the
/// version that carried all calls before an order that has not ended needs no
/// move: that version gets all calls at once, and the others none.
///
///     MoveOrders orders(decoder);
///     if (orders.Offer(documents, wall)) {
///       moves.SetPlans(orders.Plans(), now);
///     }
///     std::optional<VersionSplit> split = orders.EndedSplit(service);
///
/// Thread safety: not thread-safe; belongs to the control thread.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"
#include "version/ConfigurationDecoder.h"
#include "version/Document.h"
#include "version/MoveOrder.h"
#include "version/MovePlan.h"
#include "version/VersionSplit.h"

namespace tarragontray {

/// The end of a move that the platform does not show.
struct UnrecordedEnd
{
  MovePlan m_plan;
  MoveState m_state = MoveState::Done;
  std::string m_reason;
};

class MoveOrders
{
public:
  /// Precondition: aDecoder outlives the orders.
  explicit MoveOrders(const ConfigurationDecoder& aDecoder)
    : m_decoder(aDecoder)
  {
  }

  /// Adds, updates or withdraws orders. An empty body withdraws the order. Keys
  /// that are not orders' are ignored, and a document that does not decode
  /// leaves the service's order unchanged.
  /// \param aWall the start time of new orders that do not name one.
  /// \return whether an order changed.
  bool Offer(const std::vector<Document>& aDocuments, WallTime aWall);

  /// The plans of orders whose final outcome is not recorded yet.
  std::vector<MovePlan> Plans() const;
  /// The split of a service whose order has ended: after a completed move only
  /// the new version, after a rollback every version but the new one. Not set
  /// for other services.
  std::optional<VersionSplit> EndedSplit(const ServiceId& aService) const;
  /// The revision of the order's object, for a conditional write of the move's
  /// outcome; not set when there is no such order.
  std::optional<Revision> RevisionOf(const MoveId& aMove) const;
  /// The state of the move that the order's object records, if any.
  std::optional<MoveState> Recorded(const MoveId& aMove) const;
  /// The moves that have ended although the platform shows their orders without
  /// the end: it was restored from a copy, or the order needs no move. Their
  /// outcomes are to be written.
  std::vector<UnrecordedEnd> UnrecordedEnds() const;
  /// The order of a move, to be recorded with its outcome; null when there is
  /// no such order. Valid until the next call of Offer().
  const MoveOrder* OrderOf(const MoveId& aMove) const;
  /// Names the version that carried all calls before the order, when nothing
  /// else tells it.
  void NameBase(const MoveId& aMove, const UpstreamVersion& aFrom);
  /// The number of documents that did not decode.
  std::uint64_t Rejected() const { return m_rejected; }
  /// The decoding error of the last rejected document.
  const std::optional<Error>& LastRejection() const { return m_lastRejection; }

private:
  struct OrderEntry
  {
    MoveOrder m_order;
    Revision m_revision;
    WallTime m_start{};
    /// Whether m_order has ended but its object no longer records that.
    bool m_isOutcomeLost = false;
  };

  /// The hold time after the last step is the order's duration divided by this.
  static constexpr int kHoldDivisor = 8;

  static MovePlan PlanOf(const OrderEntry& aEntry);
  /// Completes what the document alone does not tell about an order from the
  /// order that was known before it.
  static void Complete(MoveOrder& aOrder,
                       const OrderEntry& aFormer,
                       Revision aRevision);
  const OrderEntry* Find(const MoveId& aMove) const;

  const ConfigurationDecoder& m_decoder;
  std::map<ServiceId, OrderEntry> m_orders;
  std::uint64_t m_rejected = 0;
  std::optional<Error> m_lastRejection;
};

} // namespace tarragontray
