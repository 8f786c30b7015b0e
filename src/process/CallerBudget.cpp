#include "process/CallerBudget.h"

#include <algorithm>
#include <chrono>

namespace tarragontray {

namespace {

/// A session without progress for this long is stalled. Longer pauses of a
/// session do not weigh more, so that many small idle connections are not
/// closed before a large request that has stopped.
constexpr Duration kStalled = std::chrono::seconds(1);
constexpr Duration kLeastPause = std::chrono::milliseconds(1);
/// Part of the memory that bodies may fill.
constexpr std::uint64_t kBodyNumerator = 3;
constexpr std::uint64_t kBodyDenominator = 4;
/// Part of the memory for the admin listeners.
constexpr std::uint64_t kAdminDenominator = 4;
constexpr std::size_t kFrontDescriptorDenominator = 2;
constexpr std::size_t kAdminDescriptorDenominator = 16;
constexpr std::size_t kMaxFrontSessions = 4096;
constexpr std::size_t kMaxAdminSessions = 256;
constexpr std::size_t kMinSessions = 4;

bool
IsStalled(const CallerHolding& aHolding, MonotonicTime aNow)
{
  return !aHolding.m_isServed && aNow - aHolding.m_lastProgress >= kStalled;
}

} // namespace

CallerShares
DivideAmongListeners(ByteCount aMemory,
                     std::size_t aDescriptors,
                     std::size_t aConnections,
                     std::size_t aFronts,
                     std::size_t aAdmins)
{
  const std::size_t most =
    std::min(aDescriptors / kFrontDescriptorDenominator, kMaxFrontSessions);
  const std::size_t fronts =
    aConnections == 0 ? most : std::min(aConnections, most);
  const std::size_t admins =
    std::min(aDescriptors / kAdminDescriptorDenominator, kMaxAdminSessions);
  const std::uint64_t admin = aMemory.Value() / kAdminDenominator;
  CallerShares shares;
  shares.m_front = { ByteCount((aMemory.Value() - admin) / aFronts),
                     std::max(fronts / aFronts, kMinSessions) };
  shares.m_admin = { ByteCount(admin / aAdmins),
                     std::max(admins, kMinSessions) };
  return shares;
}

CallerBudget::CallerBudget(const CallerBudgetSettings& aSettings)
  : m_settings(aSettings)
{
}

CallerBudget::Opening
CallerBudget::Open(CallerSession aSession, MonotonicTime aNow)
{
  Opening opening;
  if (m_sessions.size() >= m_settings.m_maxSessions) {
    MonotonicTime oldest = MonotonicTime::max();
    for (const auto& [session, entry] : m_sessions) {
      if (IsStalled(entry.m_holding, aNow) &&
          entry.m_holding.m_lastProgress < oldest) {
        oldest = entry.m_holding.m_lastProgress;
        opening.m_close = session;
      }
    }
    opening.m_isAccepted = opening.m_close.has_value();
  }
  if (opening.m_isAccepted) {
    m_sessions[aSession].m_holding.m_lastProgress = aNow;
  }
  return opening;
}

void
CallerBudget::Close(CallerSession aSession)
{
  const auto found = m_sessions.find(aSession);
  if (found != m_sessions.end()) {
    m_held =
      ByteCount(m_held.Value() - found->second.m_holding.m_bytes.Value());
    m_sessions.erase(found);
  }
}

void
CallerBudget::Report(CallerSession aSession, const CallerHolding& aHolding)
{
  const auto found = m_sessions.find(aSession);
  if (found == m_sessions.end()) {
    return;
  }
  m_held = ByteCount(m_held.Value() - found->second.m_holding.m_bytes.Value() +
                     aHolding.m_bytes.Value());
  found->second.m_holding = aHolding;
}

void
CallerBudget::SetClosing(CallerSession aSession)
{
  const auto found = m_sessions.find(aSession);
  if (found != m_sessions.end()) {
    found->second.m_isClosing = true;
  }
}

double
CallerBudget::Weight(const CallerHolding& aHolding, MonotonicTime aNow)
{
  const Duration pause =
    aHolding.m_isServed ? kLeastPause
                        : std::clamp<Duration>(aNow - aHolding.m_lastProgress,
                                               kLeastPause,
                                               kStalled);
  return static_cast<double>(aHolding.m_bytes.Value()) *
         std::chrono::duration<double, std::milli>(pause).count();
}

std::optional<CallerSession>
CallerBudget::NextExcess(MonotonicTime aNow) const
{
  std::optional<CallerSession> next;
  if (m_held <= m_settings.m_memory) {
    return next;
  }
  double most = 0;
  for (const auto& [session, entry] : m_sessions) {
    const double weight = entry.m_isClosing ? 0 : Weight(entry.m_holding, aNow);
    if (weight > most) {
      most = weight;
      next = session;
    }
  }
  return next;
}

bool
CallerBudget::Fits(ByteCount aBytes, bool aHasBody) const
{
  const std::uint64_t memory = m_settings.m_memory.Value();
  return m_held.Value() + aBytes.Value() <=
         (aHasBody ? memory * kBodyNumerator / kBodyDenominator : memory);
}

std::optional<CallerSession>
CallerBudget::NextStalled(CallerSession aFor, MonotonicTime aNow) const
{
  std::optional<CallerSession> next;
  std::uint64_t most = 0;
  for (const auto& [session, entry] : m_sessions) {
    const std::uint64_t bytes = entry.m_holding.m_bytes.Value();
    if (session != aFor && !entry.m_isClosing && bytes > most &&
        IsStalled(entry.m_holding, aNow)) {
      most = bytes;
      next = session;
    }
  }
  return next;
}

} // namespace tarragontray
