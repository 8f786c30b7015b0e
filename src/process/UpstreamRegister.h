/// \file
/// Holds the newest announcement of this VM's upstream. Announcements may
/// arrive late, more than once or from an upstream process that has ended.
///
///     UpstreamRegister upstreams;
///     if (upstreams.Offer(report)) {
///       guard.SetUpstream(upstreams.Announcement(), upstreams.Place());
///     }
///
/// Thread safety: not thread-safe; belongs to the control thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/Ids.h"
#include "base/StrongType.h"
#include "base/Units.h"
#include "process/MemberRecord.h"
#include "request/HttpDialect.h"

namespace tarragontray {

/// Distinguishes successive upstream processes at one address; a later process
/// has a higher number.
using UpstreamBirth = Amount<struct UpstreamBirthTag>;
/// Sequence number of an announcement within one upstream process.
using AnnouncementNumber = Amount<struct AnnouncementNumberTag>;

/// Identifies one process of an upstream, from its start to its end.
struct UpstreamProcess
{
  UpstreamInstanceId m_instance;
  /// Not set: all processes with this instance name.
  std::optional<UpstreamBirth> m_birth;

  bool operator==(const UpstreamProcess&) const = default;
};

/// One announcement, or one notice that the upstream is leaving.
struct UpstreamReport
{
  UpstreamAnnouncement m_announcement;
  UpstreamEndpoint m_place;
  /// Not set when the upstream does not number its processes; each of its
  /// announcements then counts as the newest.
  std::optional<UpstreamBirth> m_birth;
  AnnouncementNumber m_number;
  /// A leave notice: the upstream process m_place.m_instance is ending. Only
  /// m_place.m_instance and m_birth are used.
  bool m_isLeave = false;
};

/// See the file comment.
class UpstreamRegister
{
public:
  /// \return whether the upstream, its state or its place changed.
  bool Offer(const UpstreamReport& aReport);
  /// Marks the upstream absent because its announcements stopped. A leave
  /// notice stays in effect for the process that sent it.
  void Lapse();

  const UpstreamAnnouncement& Announcement() const { return m_announcement; }
  const UpstreamEndpoint& Place() const { return m_place; }
  /// The upstream process that last announced that it is leaving or draining.
  const std::optional<UpstreamProcess>& LastLeavingProcess() const
  {
    return m_lastLeavingProcess;
  }

private:
  bool IsOutdated(const UpstreamReport& aReport) const;
  bool IsFromCurrentProcess(const UpstreamReport& aReport) const;
  bool Leave(const UpstreamReport& aReport);
  /// Records a leave notice of a process other than the current one.
  void RecordLeave(const UpstreamReport& aReport);
  bool HasLeft(const UpstreamReport& aReport) const;

  /// Bound on m_leftProcesses. More than one entry occurs only while upstream
  /// processes replace each other.
  static constexpr std::size_t kMaxLeftProcesses = 8;

  UpstreamAnnouncement m_announcement;
  UpstreamEndpoint m_place;
  std::optional<UpstreamBirth> m_birth;
  AnnouncementNumber m_number;
  /// Whether the current process is leaving; no later announcement of the same
  /// process revokes that.
  bool m_isLeaving = false;
  /// Processes that sent a leave notice while they were not the current one.
  std::deque<UpstreamProcess> m_leftProcesses;
  std::optional<UpstreamProcess> m_lastLeavingProcess;
};

} // namespace tarragontray
