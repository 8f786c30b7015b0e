/// \file
/// Interfaces that decide how fast a move proceeds and when it is rolled back.
///
///     std::unique_ptr<VersionJudge> judge =
///       policy->MakeJudge(EvidenceScope::DataCentre);
///     Verdict verdict = judge->Judge(window);
///     Share share = policy->NextShare(pace);
///
/// Thread safety: a policy is immutable; a judge is used by one thread.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/Ids.h"
#include "base/Units.h"
#include "version/EvidenceWindow.h"
#include "version/MovePlan.h"
#include "version/MoveProgress.h"

namespace tarragontray {

/// A judge's assessment of the new version.
enum class VerdictKind : std::uint8_t
{
  /// There is no evidence against it.
  Clear,
  /// The share should not be raised now.
  Suspect,
  /// Suspect, but the old version carries too little load for a comparison.
  NeedsComparison,
  /// It must be rolled back.
  Bad,
};

/// An assessment with the evidence that it is based on.
struct Verdict
{
  VerdictKind m_kind = VerdictKind::Clear;
  /// The route with the strongest evidence; empty if Clear.
  RouteName m_route;
  /// The evidence in one line, for example "failures new=12/40 old=1/400".
  std::string m_reason;
  /// The number of calls to the new version that the verdict is based on.
  CallCount m_calls;
  /// With Clear: whether there is too much evidence against the new version for
  /// the full share, though too little to suspect it.
  bool m_isInDoubt = false;
  /// The strongest evidence against the new version, whatever the verdict: a
  /// route, its counts and their score, in one line; empty if there is none.
  std::string m_evidence{};
};

/// The scope of the evidence that a judge receives.
enum class EvidenceScope : std::uint8_t
{
  /// All nodes of a data centre; used by MoveCoordinator.
  DataCentre,
  /// One node; used by NodeMoveMonitor.
  Node,
};

/// Judges one move by a sequence of evidence windows.
class VersionJudge
{
public:
  virtual ~VersionJudge() = default;
  /// Adds evidence of the old version from before the judge was created.
  /// Thread safety: one thread.
  virtual void AddHistory(const EvidenceWindow& aWindow) = 0;
  /// Adds the next window and returns the verdict. Thread safety: one thread.
  virtual Verdict Judge(const EvidenceWindow& aWindow) = 0;
};

/// The inputs for choosing the next share.
struct PaceInput
{
  MovePlan m_plan;
  WallTime m_wall{};
  Share m_share = Share::None();
  /// The time since the share last changed.
  Duration m_sinceChange{ 0 };
  /// Whether a trial has ended and there has been no evidence against the new
  /// version since.
  bool m_hasPassedTrial = false;
  /// How often the share has been lowered, by the end of a trial or otherwise.
  ProgressEpoch m_lowerings{};
  /// The integral of the share over time since the start of the move.
  Duration m_spent{ 0 };
};

/// A strategy for pacing and judging moves.
class MovePolicy
{
public:
  virtual ~MovePolicy() = default;

  /// The next share, given that there is no evidence against the new version.
  /// At least aInput.m_share. Thread safety: any thread.
  virtual Share NextShare(const PaceInput& aInput) const = 0;

  /// The share to fall back to after a trial at aInput.m_share has lasted long
  /// enough, while its evidence is collected; aInput.m_share otherwise. At most
  /// aInput.m_share. Thread safety: any thread.
  virtual Share ShareAfterTrial(const PaceInput& aInput) const
  {
    return aInput.m_share;
  }

  /// Whether a version that is not suspect must be rolled back, because it has
  /// not passed a trial and there is no room for another one. Thread safety:
  /// any thread.
  virtual bool MustGiveUp(const PaceInput& /*aInput*/) const { return false; }

  /// Whether a suspect version must be rolled back, because the remaining time
  /// does not suffice to clear it and complete the move. Thread safety: any
  /// thread.
  virtual bool MustDecide(const PaceInput& /*aInput*/) const { return false; }

  /// The share for a comparison that a judge has requested.
  /// \param aEqualLoad the share at which the slots of both versions carry the
  /// same load. Thread safety: any thread.
  virtual Share ComparisonShare(Share aEqualLoad) const { return aEqualLoad; }

  /// Creates a judge without evidence. Thread safety: any thread.
  virtual std::unique_ptr<VersionJudge> MakeJudge(
    EvidenceScope aScope) const = 0;
};

} // namespace tarragontray
