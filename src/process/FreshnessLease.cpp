#include "process/FreshnessLease.h"

#include "base/PlatformEra.h"

namespace tarragontray {

Result<FreshnessLease>
FreshnessLease::Create(const FreshnessSettings& aSettings)
{
  if (aSettings.m_limit != Duration::zero() &&
      aSettings.m_limit <= aSettings.m_margin) {
    return Error(ErrorCode::InvalidArgument,
                 "freshness.create",
                 "revocation limit",
                 "must be 0 or above the margin of 250 ms");
  }
  return FreshnessLease(aSettings);
}

void
FreshnessLease::Confirm(const Confirmation& aConfirmation)
{
  // Revisions of different eras don't tell which of two versions is newer;
  // see DocumentStamp.
  const Revision confirmed = aConfirmation.m_revision;
  const bool counts = confirmed == m_used ||
                      (confirmed < m_used && EraOf(confirmed) == EraOf(m_used));
  if (m_used == Revision(0) || !counts) {
    return;
  }
  if (!m_last || aConfirmation.m_asOf > m_last->m_asOf) {
    m_last = aConfirmation;
  }
}

std::optional<Duration>
FreshnessLease::Age(BootTime aNow) const
{
  return m_last ? std::optional(aNow - m_last->m_asOf) : std::nullopt;
}

bool
FreshnessLease::IsFresh(BootTime aNow) const
{
  return !IsStrict() ||
         !IsOlder(m_settings.m_limit - m_settings.m_margin, aNow);
}

bool
FreshnessLease::IsOlder(Duration aAge, BootTime aNow) const
{
  return !m_last || aNow - m_last->m_asOf > aAge;
}

} // namespace tarragontray
