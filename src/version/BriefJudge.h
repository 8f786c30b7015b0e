/// \file
/// A judge for moves that last only seconds.
///
///     BriefJudge judge(BriefMoveSettings{});
///     Verdict verdict = judge.Judge(window);
///
/// Compares the new version with the old one on every route over several time
/// spans, up to BriefMoveSettings::m_lookback. Two likelihood-ratio tests, for
/// failures and for slow calls, each consider several sizes of the fault. The
/// worst target of each version is excluded. Failures are also tested on all
/// routes together; there, less evidence than for a suspicion puts the version
/// in doubt.
///
/// The share changes within a span, so the old version's calls are weighted by
/// the number of calls to the new version at about the same time. A fault of
/// both versions is thus not attributed to the one that carried most calls
/// while it lasted. A fault must also show against the old version's history.
/// A verdict of Bad requires enough concurrent calls to the old version. At a
/// large share, a suspect version therefore needs a comparison at a small one.
///
/// Thread safety: one thread.
#pragma once

#include <deque>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "version/BriefMovePolicy.h"

namespace tarragontray {

/// A judge for moves that last only seconds; see the file comment.
class BriefJudge final : public VersionJudge
{
public:
  explicit BriefJudge(const BriefMoveSettings& aSettings)
    : m_settings(aSettings)
  {
  }

  void AddHistory(const EvidenceWindow& aWindow) override;
  Verdict Judge(const EvidenceWindow& aWindow) override;

private:
  using CountersByTarget = std::map<VmId, VersionCounters>;

  /// The findings of one window so far.
  struct Findings
  {
    /// The score of m_verdict.m_evidence.
    double m_evidenceScore = -std::numeric_limits<double>::infinity();
    /// The score that the next finding needs to decide the verdict.
    double m_verdictScore = 0;
    Verdict m_verdict;
  };

  /// The result of one test.
  struct Finding
  {
    double m_score = 0;
    /// Bad calls to the new version, and all its calls.
    double m_bad = 0;
    double m_calls = 0;
    /// Whether it was compared with enough concurrent calls.
    bool m_isCompared = false;
    RouteName m_route;
    std::string m_reason;
  };

  void AddWindow(const EvidenceWindow& aWindow);
  std::set<RouteName> RoutesOfNewVersion() const;
  /// The last windows, which together last aSpan or a little longer.
  std::vector<const EvidenceWindow*> LastWindows(Duration aSpan) const;
  struct TargetHistory;
  TargetHistory HistoryOf(const RouteName& aRoute) const;
  void Offer(const Finding& aFinding, Findings& aFindings) const;
  /// Tests whether the new version fails more often on its routes together. A
  /// fault of all routes shows earlier in their sum than on any one of them.
  void ScoreRoutesTogether(const std::set<RouteName>& aRoutes,
                           Duration aSpan,
                           Findings& aFindings) const;
  struct RouteHistory;
  void ScoreRoute(const RouteName& aRoute, Findings& aFindings) const;
  void ScoreSpan(const RouteName& aRoute,
                 Duration aSpan,
                 const RouteHistory& aHistory,
                 Findings& aFindings) const;

  BriefMoveSettings m_settings;
  std::deque<EvidenceWindow> m_windows;
  Duration m_length{ 0 };
  std::map<RouteName, CountersByTarget> m_history;
};

} // namespace tarragontray
