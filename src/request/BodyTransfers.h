/// \file
/// Decides when the guard fetches the bodies of calls from their entry nodes.
///
/// The entry node sends a call with a large body without it. The guard fetches
/// the body, in pieces and within a window, when the upstream will soon have a
/// slot for the call. So bodies of calls that would be refused don't use the
/// VM's link, and small calls wait behind at most one window of bytes. Without
/// this, uploads above the bandwidth of the link also delayed all other calls
/// to the VM until their deadlines.
///
///     transfers.Offer(body, now);           // returns the calls to refuse
///     while (auto piece = transfers.Next(hasRoom, now)) { request it }
///     transfers.Arrived(ticket, size, now); // a piece has arrived
///
/// Answers the load of uploads whose bytes exceed the bandwidth of a VM.
///
/// Thread safety: one thread for each instance.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/Units.h"
#include "request/AdmissionPolicy.h"

namespace tarragontray {

struct BodyTransferSettings
{
  /// Bytes that are requested at once, of all bodies together.
  ByteCount m_window{ 64U << 10U };
  ByteCount m_piece{ 32U << 10U };
  /// A piece that has been outstanding for longer doesn't count in the window,
  /// so that an unresponsive entry node doesn't block the others.
  Duration m_stallTime = std::chrono::milliseconds(200);
  /// Maximum number of bodies that wait or are being transferred.
  std::size_t m_limit = 64;
  /// The expected bandwidth until the first transfers: 10 Mbit/s.
  double m_bytesPerSecond = 1'250'000;
};

/// A call whose body has not been transferred.
struct WaitingBody
{
  /// m_serviceTime, m_objective and m_deadline are those of the call.
  WaitingCall m_call;
  ByteCount m_size;
};

/// A piece of a body to request from the entry node.
struct BodyPiece
{
  Ticket m_ticket;
  ByteCount m_offset;
  ByteCount m_size;
};

/// See the file comment.
class BodyTransfers
{
public:
  explicit BodyTransfers(const BodyTransferSettings& aSettings)
    : m_settings(aSettings)
  {
  }

  /// A call without its body has arrived. Returns the calls to be refused,
  /// which may include this one. Precondition: the ticket is new.
  std::vector<Refused> Offer(const WaitingBody& aBody, MonotonicTime aNow);
  /// The next piece to request, if the window has room. \param aStartsNew
  /// whether the transfer of another body may begin.
  std::optional<BodyPiece> Next(bool aStartsNew, MonotonicTime aNow);
  /// A piece has arrived. Returns true when its body is complete; the body is
  /// then removed.
  bool Arrived(Ticket aTicket, ByteCount aSize, MonotonicTime aNow);
  /// Removes a body. \return whether it was there.
  bool Remove(Ticket aTicket);
  /// Removes and returns the calls that can't be answered before their
  /// deadline.
  std::vector<Refused> TakeExpired(MonotonicTime aNow);
  /// When TakeExpired or Next may have a result again; not set when no body
  /// waits.
  std::optional<MonotonicTime> NextTick() const;
  /// The expected time until the transfer of one more body would end.
  Duration ExpectedWait() const;
  std::size_t Size() const { return m_bodies.size(); }

private:
  struct Body
  {
    WaitingBody m_waiting;
    /// The call is expected to miss its objective.
    bool m_isLate = false;
    ByteCount m_requested;
    ByteCount m_arrived;
    /// When the last piece was requested or arrived.
    MonotonicTime m_lastProgress{};
    /// Its outstanding piece no longer counts in the window.
    bool m_isStalled = false;

    bool HasStarted() const { return m_requested > ByteCount(0); }
    ByteCount Outstanding() const { return m_requested - m_arrived; }
  };

  /// The time that aBytes take at the observed rate.
  Duration TransferTime(ByteCount aBytes) const;
  /// Bodies in the order of their transfers: started ones, then timely ones,
  /// then late ones; each by priority.
  static bool Precedes(const Body& aLeft, const Body& aRight);
  /// The latest time at which the call may start.
  static MonotonicTime LatestStart(const WaitingCall& aCall);
  /// The bytes that started transfers have still to receive.
  ByteCount BytesOfStarted() const;
  static bool IsLate(const WaitingCall& aCall, MonotonicTime aStart);
  /// Moves calls that can't meet their objective behind those that can.
  void DemoteLateCalls(MonotonicTime aNow);
  void RecordCompletion(MonotonicTime aNow);

  BodyTransferSettings m_settings;
  /// Sorted by Precedes.
  std::vector<Body> m_bodies;
  /// Mean time between completed bodies while others waited, in seconds; 0
  /// before the first. Includes waits for slots of the upstream.
  double m_interval = 0;
  /// When the last body was completed while others waited.
  std::optional<MonotonicTime> m_lastCompletion;
};

} // namespace tarragontray
