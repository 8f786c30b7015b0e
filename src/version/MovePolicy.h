/// \file
/// How fast a move goes and when it is taken back.
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

namespace tarragontray {

/// What a judge says of the new version.
enum class VerdictKind : std::uint8_t
{
  /// Nothing speaks against it.
  Clear,
  /// The share should not be raised now.
  Suspect,
  /// Suspect, and too little runs on the old version to compare with.
  NeedsComparison,
  /// It must be taken back.
  Bad,
};

/// A judgement with the figures that it rests on.
struct Verdict
{
  VerdictKind m_kind = VerdictKind::Clear;
  /// Set unless Clear.
  RouteName m_route;
  /// Figures in one line, for example "failures new=12/40 old=1/400".
  std::string m_reason;
  /// Calls of the new version that the verdict rests on.
  CallCount m_calls;
};

/// Whose evidence a judge sees.
enum class EvidenceScope : std::uint8_t
{
  /// All nodes of a data centre; the coordinator's.
  DataCentre,
  /// One node's own; the monitor's.
  Node,
};

/// Judges one move by one stream of windows.
class VersionJudge
{
public:
  virtual ~VersionJudge() = default;
  /// Takes in what was seen of the old version before the judge was made.
  /// Thread safety: one thread.
  virtual void AddHistory(const EvidenceWindow& aWindow) = 0;
  /// Takes the next window in. Thread safety: one thread.
  virtual Verdict Judge(const EvidenceWindow& aWindow) = 0;
};

/// What the next share depends on.
struct PaceInput
{
  MovePlan m_plan;
  WallTime m_wall{};
  Share m_share = Share::None();
  /// Since the share was last changed.
  Duration m_sinceChange{ 0 };
};

/// A way to pace and to judge moves.
class MovePolicy
{
public:
  virtual ~MovePolicy() = default;

  /// The share to go to now that nothing speaks against the new version; at
  /// least the input's. Thread safety: any thread.
  virtual Share NextShare(const PaceInput& aInput) const = 0;

  /// A judge without evidence. Thread safety: any thread.
  virtual std::unique_ptr<VersionJudge> MakeJudge(
    EvidenceScope aScope) const = 0;
};

} // namespace tarragontray
