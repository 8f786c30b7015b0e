/// \file
/// What the upstream of this VM says of itself, and which of it is the newest:
/// announcements may come late, twice or from a life that has ended.
///
///     UpstreamRegister upstreams;
///     if (upstreams.Offer(report)) {
///       guard.SetUpstream(upstreams.Announcement(), upstreams.Place());
///     }
///
/// Thread safety: one thread (control).
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

/// Tells the lives of upstreams at one address apart; later ones are higher.
using UpstreamBirth = Amount<struct UpstreamBirthTag>;
/// Rises with each announcement of one life.
using AnnouncementNumber = Amount<struct AnnouncementNumberTag>;

/// One life of an upstream.
struct UpstreamProcess
{
  UpstreamInstanceId m_instance;
  /// Not set: all lives of the name.
  std::optional<UpstreamBirth> m_birth;

  bool operator==(const UpstreamProcess&) const = default;
};

/// One announcement.
struct UpstreamReport
{
  UpstreamAnnouncement m_announcement;
  UpstreamEndpoint m_place;
  /// Not set: the upstream does not number its lives, and each announcement
  /// counts as the newest.
  std::optional<UpstreamBirth> m_birth;
  AnnouncementNumber m_number;
  /// Says only that the life at m_place.m_instance ends.
  bool m_isLeave = false;
};

/// See the file comment.
class UpstreamRegister
{
public:
  /// \return true when the upstream, its state or its place changed.
  bool Offer(const UpstreamReport& aReport);
  /// Nothing was heard for too long. The next announcement counts, unless the
  /// life it speaks of was leaving.
  void Lapse();

  const UpstreamAnnouncement& Announcement() const { return m_announcement; }
  const UpstreamEndpoint& Place() const { return m_place; }
  /// The life that last said that it ends or drains.
  const std::optional<UpstreamProcess>& LastLeavingProcess() const
  {
    return m_lastLeavingProcess;
  }

private:
  bool IsOutdated(const UpstreamReport& aReport) const;
  bool IsFromCurrentProcess(const UpstreamReport& aReport) const;
  bool Leave(const UpstreamReport& aReport);
  /// Another life than the current one said that it ends.
  void RecordLeave(const UpstreamReport& aReport);
  bool HasLeft(const UpstreamReport& aReport) const;

  /// More than one only while upstreams replace each other.
  static constexpr std::size_t kMaxLeftProcesses = 8;

  UpstreamAnnouncement m_announcement;
  UpstreamEndpoint m_place;
  std::optional<UpstreamBirth> m_birth;
  AnnouncementNumber m_number;
  /// The current life said that it ends; nothing brings it back.
  bool m_isLeaving = false;
  /// Lives that ended without an announcement of them before.
  std::deque<UpstreamProcess> m_leftProcesses;
  std::optional<UpstreamProcess> m_lastLeavingProcess;
};

} // namespace tarragontray
