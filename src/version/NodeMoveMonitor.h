/// \file
/// A node-local check that stops a bad version using only the node's own
/// evidence.
///
///     Verdict verdict = monitor.Observe(report, slots, share, now);
///     Share share = std::min(dataCentreShare, monitor.ShareLimit());
///
/// It depends on neither the coordinator nor the network. It requires stronger
/// evidence than the coordinator, since each of many nodes can veto the move.
///
/// Thread safety: one thread.
#pragma once

#include <memory>

#include "base/Units.h"
#include "version/EvidenceTable.h"
#include "version/MovePolicy.h"

namespace tarragontray {

/// Warm slots of both versions of a move that a node can reach.
struct WarmSlots
{
  SlotCount m_old{ 0 };
  SlotCount m_new{ 0 };
};

/// A node-local check of one move; see the file comment.
class NodeMoveMonitor
{
public:
  NodeMoveMonitor(const MovePlan& aPlan, std::unique_ptr<VersionJudge> aJudge)
    : m_table(aPlan)
    , m_judge(std::move(aJudge))
  {
  }

  /// Judges the node's evidence since the previous call. A verdict of Bad means
  /// that the move must be vetoed.
  /// \param aReport all of this node's evidence.
  /// \param aShare the data centre's highest share since the previous call.
  Verdict Observe(const EvidenceReport& aReport,
                  const WarmSlots& aSlots,
                  Share aShare,
                  MonotonicTime aNow);

  /// The upper limit of the share that this node may apply.
  Share ShareLimit() const { return m_shareLimit; }

private:
  EvidenceTable m_table;
  std::unique_ptr<VersionJudge> m_judge;
  Share m_shareLimit = Share::All();
};

} // namespace tarragontray
