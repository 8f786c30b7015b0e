/// \file
/// Holds the newest announcement of this VM's upstream. Announcements may
/// arrive late, more than once or from an upstream process that has ended.
///
///     UpstreamRegister upstreams;
///     if (upstreams.Offer(report)) {
///       guard.SetUpstream(upstreams.Announcement(), upstreams.Place());
///     }
///
/// An upstream process that has announced its end stays draining, also across
/// a restart of the node: see process/DepartedUpstreams.h. A node that starts
/// does not know at first which processes those are. Until SetHistoryKnown() no
/// upstream is announced as running:
///
///     upstreams.AwaitHistory();
///     upstreams.Offer(heartbeat);     // Announcement() is Absent
///     upstreams.Adopt(departed);
///     upstreams.SetHistoryKnown();    // Live, or Draining if it had left
///
/// Thread safety: not thread-safe; belongs to the control thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/Ids.h"
#include "base/StrongType.h"
#include "base/Units.h"
#include "process/DepartedUpstreams.h"
#include "process/MemberRecord.h"
#include "request/HttpDialect.h"

namespace tarragontray {

/// Sequence number of an announcement within one upstream process.
using AnnouncementNumber = Amount<struct AnnouncementNumberTag>;

/// One announcement, or one notice that the upstream is leaving.
struct UpstreamReport
{
  UpstreamAnnouncement m_announcement;
  UpstreamEndpoint m_place;
  /// Not set when the upstream does not number its processes; each of its
  /// announcements then counts as the newest. Ignored while a process with a
  /// birth announces itself.
  std::optional<UpstreamBirth> m_birth;
  AnnouncementNumber m_number;
  /// How long the upstream will stay cold; zero when it is warm or does not
  /// tell.
  Duration m_coldRemaining{ 0 };
  /// A leave notice: the upstream process m_place.m_instance is ending. Only
  /// m_place.m_instance and m_birth are used.
  bool m_isLeave = false;
};

/// The upstream process whose end a report announces, by a leave notice or by
/// a numbered announcement as draining; not set when it announces none. Any
/// thread.
std::optional<UpstreamProcess>
DepartureIn(const UpstreamReport& aReport);

/// See the file comment.
class UpstreamRegister
{
public:
  /// Whether a report is an announcement that is newer than the ones before.
  bool IsNews(const UpstreamReport& aReport) const
  {
    return !aReport.m_isLeave && !IsOutdated(aReport);
  }
  /// \return whether the upstream, its state or its place changed.
  bool Offer(const UpstreamReport& aReport);
  /// Adds processes that announced their end to an earlier process of this
  /// node. \return whether the state of the upstream changed.
  bool Adopt(const DepartedUpstreams& aDeparted);
  /// Announces no upstream as running until SetHistoryKnown(). Precondition:
  /// nothing has been offered.
  void AwaitHistory() { m_isHistoryKnown = false; }
  /// All departed processes have been adopted. \return whether the state of the
  /// upstream changed.
  bool SetHistoryKnown();
  bool IsHistoryKnown() const { return m_isHistoryKnown; }
  /// Marks the upstream absent because its announcements stopped. A leave
  /// notice stays in effect for the process that sent it.
  void Lapse();

  UpstreamAnnouncement Announcement() const;
  const UpstreamEndpoint& Place() const { return m_place; }
  /// The number of the newest announcement.
  AnnouncementNumber Number() const { return m_number; }
  /// The upstream processes that have announced their end.
  const DepartedUpstreams& Departed() const { return m_departed; }

private:
  bool IsOutdated(const UpstreamReport& aReport) const;
  bool IsFromCurrentProcess(const UpstreamReport& aReport) const;
  void Announce(const UpstreamReport& aReport);
  void Depart(const UpstreamProcess& aProcess);
  /// Applies m_departed to the current process.
  void UpdateState();

  UpstreamAnnouncement m_announcement;
  UpstreamEndpoint m_place;
  std::optional<UpstreamBirth> m_birth;
  AnnouncementNumber m_number;
  DepartedUpstreams m_departed;
  bool m_isHistoryKnown = true;
};

} // namespace tarragontray
