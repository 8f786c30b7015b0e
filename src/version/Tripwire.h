/// \file
/// A node's own guard: it acts on what the node itself saw, at once.
///
///     Verdict verdict = tripwire.Observe(whole, slots, share, now);
///     Share share = std::min(dataCentreShare, tripwire.Ceiling());
///
/// It needs neither steward nor network. Its verdict on this node's evidence
/// is stricter than the steward's, since there are many nodes.
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
class Tripwire
{
public:
  Tripwire(const MovePlan& aPlan, std::unique_ptr<VersionJudge> aJudge)
    : m_table(aPlan)
    , m_judge(std::move(aJudge))
  {
  }

  /// Judges what the node saw since the last call. Bad means that the move
  /// must be vetoed.
  /// \param aShare the data centre's highest share since then.
  Verdict Observe(const EvidenceReport& aReport,
                  const WarmSlots& aSlots,
                  Share aShare,
                  MonotonicTime aNow);

  /// This node's own upper limit of the share.
  Share Ceiling() const { return m_ceiling; }

private:
  EvidenceTable m_table;
  std::unique_ptr<VersionJudge> m_judge;
  Share m_ceiling = Share::All();
};

} // namespace tarragontray
