/// \file
/// Admission by class and by fair shares of the calling client accounts.
///
///     Result<std::unique_ptr<AdmissionPolicy>> policy =
///       FairAdmission::Create({ owner, 64, Share::FromFraction(0.5) });
///
/// Calls of a lower priority number run first. Within one priority the calling
/// accounts share the slots by start-time fair queuing (Goyal, Vin and Cheng,
/// 1997), so that an account that floods delays itself only. A full queue drops
/// from the longest queue of the least urgent priority (longest queue drop,
/// McKenney, 1991). A call that can't be answered before its deadline is
/// refused at once or as soon as that is known.
///
/// Thread safety: one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/Result.h"
#include "request/AdmissionPolicy.h"

namespace tarragontray {

class FairAdmission final : public AdmissionPolicy
{
public:
  /// Errors: InvalidArgument when the limit is 0.
  static Result<std::unique_ptr<AdmissionPolicy>> Create(
    AdmissionBounds aBounds);

  void SetBounds(const AdmissionBounds& aBounds) override;
  std::vector<Refused> Offer(const WaitingCall& aCall,
                             const UpstreamCapacity& aCapacity,
                             MonotonicTime aNow) override;
  std::optional<Ticket> Next(const UpstreamCapacity& aCapacity,
                             MonotonicTime aNow) override;
  std::vector<Refused> TakeExpired(MonotonicTime aNow) override;
  std::optional<MonotonicTime> NextExpiry() const override;
  bool Remove(Ticket aTicket) override;
  void Released(const ClientAccountId& aCaller) override;
  std::size_t Size() const override { return m_size; }

private:
  /// The waiting calls of one account at one priority, and their start tags.
  struct Flow
  {
    struct Item
    {
      WaitingCall m_call;
      double m_startTag = 0;
    };
    std::deque<Item> m_items;
    double m_lastFinishTag = 0;
  };
  /// All flows of one priority. Tags are counted in calls.
  struct Level
  {
    /// An empty flow stays until virtual time has passed its last tag: an
    /// account that always has one call waiting gets no more than its share.
    std::map<ClientAccountId, Flow> m_flows;
    double m_virtualTime = 0;
    std::size_t m_waiting = 0;
  };
  using Levels = std::map<std::uint8_t, Level>;

  explicit FairAdmission(AdmissionBounds aBounds);

  bool IsForeign(const ClientAccountId& aCaller) const;
  std::uint32_t ForeignSlots(const UpstreamCapacity& aCapacity) const;
  /// Waiting calls that will run before a new one of this account.
  std::size_t CountAhead(const WaitingCall& aCall) const;
  RefusalReason Check(const WaitingCall& aCall,
                      const UpstreamCapacity& aCapacity,
                      MonotonicTime aNow) const;
  std::vector<Refused> OfferToFull(const WaitingCall& aCall);
  void Append(const WaitingCall& aCall);
  Level& LeastUrgentLevel();
  static Flow& LongestFlow(Level& aLevel);
  std::optional<Ticket> NextOf(Level& aLevel, bool aForeignMayRun);
  void RemoveIdleFlows(Level& aLevel) const;

  AdmissionBounds m_bounds;
  Levels m_levels;
  std::size_t m_size = 0;
  std::uint32_t m_foreignRunning = 0;
};

} // namespace tarragontray
