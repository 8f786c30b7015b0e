/// \file
/// Admission by the time in which an answer is worth most.
///
/// Calls that can still be answered within their objective go first, the most
/// urgent class before others, within it the quick ones, then the earliest
/// objective. The rest are late already, or will be: they wait for what the
/// others leave; quick calls only when their deadline is out of reach. Under
/// overload the slots go to calls that are worth most, where a plain queue
/// would make all of them late. A call is refused as soon as the queue ahead of
/// it leaves it no time before its deadline.
///
/// All accounts are alike here; FairAdmission is the policy for neighbours
/// that share an upstream.
///
/// Thread safety: one thread for each instance.
#pragma once

#include <memory>
#include <vector>

#include "base/Result.h"
#include "request/AdmissionPolicy.h"

namespace tarragontray {

class ObjectiveAdmission final : public AdmissionPolicy
{
public:
  /// Errors: InvalidArgument for a limit of 0.
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
  void Released(const ClientAccountId& /*aCaller*/) override {}
  std::size_t Size() const override { return m_timely.size() + m_late.size(); }

private:
  explicit ObjectiveAdmission(AdmissionBounds aBounds)
    : m_bounds(std::move(aBounds))
  {
  }

  /// How long until the call would start among the timely or the late ones.
  Duration ExpectedWait(const WaitingCall& aCall,
                        bool aIsLate,
                        const UpstreamCapacity& aCapacity) const;
  std::vector<Refused> OfferToFull(const WaitingCall& aCall, bool aIsLate);
  void Append(const WaitingCall& aCall, bool aIsLate);
  /// Puts timely calls whose objective is out of reach among the late ones.
  void Demote(MonotonicTime aNow);

  AdmissionBounds m_bounds;
  /// Sorted by priority, quick ones first, then objective.
  std::vector<WaitingCall> m_timely;
  /// Sorted by priority, quick ones first, then deadline.
  std::vector<WaitingCall> m_late;
};

} // namespace tarragontray
