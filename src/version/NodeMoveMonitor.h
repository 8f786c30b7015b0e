/// \file
/// A node's own guard: it acts on what the node itself saw, at once.
///
///     Verdict verdict = monitor.Observe(whole, slots, share, now);
///     Share share = std::min(dataCentreShare, monitor.ShareLimit());
///
/// It needs neither coordinator nor network. Its verdict on this node's
/// evidence is stricter than the coordinator's, since there are many nodes.
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

/// See the file comment.
class NodeMoveMonitor
{
public:
  NodeMoveMonitor(const MovePlan& aPlan, std::unique_ptr<VersionJudge> aJudge)
    : m_table(aPlan)
    , m_judge(std::move(aJudge))
  {
  }

  /// Judges what the node saw since the last call. Bad means that the move
  /// must be vetoed.
  /// \param aShare the data centre's highest share since then.
  Verdict Observe(const EvidenceReport& aWhole,
                  const WarmSlots& aSlots,
                  Share aShare,
                  MonotonicTime aNow);

  /// This node's own upper limit of the share.
  Share ShareLimit() const { return m_shareLimit; }

private:
  EvidenceTable m_table;
  std::unique_ptr<VersionJudge> m_judge;
  Share m_shareLimit = Share::All();
};

} // namespace tarragontray
