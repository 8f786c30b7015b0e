#include "request/BodyTransfers.h"

#include <criterion/criterion.h>

namespace tarragontray {

namespace {

using std::chrono::milliseconds;

constexpr MonotonicTime kStart{ std::chrono::hours(1) };
constexpr ByteCount kBody{ 60'000 };

WaitingBody
MakeBody(std::uint64_t aTicket,
         Duration aDeadline = milliseconds(5'000),
         Duration aObjective = milliseconds(800),
         std::uint8_t aPriority = 1)
{
  return { { .m_ticket = Ticket(aTicket),
             .m_caller = ClientAccountId("a"),
             .m_priority = aPriority,
             .m_deadline = kStart + aDeadline,
             .m_objective = kStart + aObjective,
             .m_serviceTime = milliseconds(120) },
           kBody };
}

} // namespace

/// Ten uploads a call apart would fill the link, and calls of a few bytes would
/// wait behind 600 KB.
Test(BodyTransfers, MoreThanTheWindowIsRequestedAtOnce)
{
  BodyTransfers transfers({});
  for (std::uint64_t ticket = 1; ticket <= 10; ++ticket) {
    cr_assert(transfers.Offer(MakeBody(ticket), kStart).empty());
  }
  ByteCount outstanding;
  while (const auto piece = transfers.Next(true, kStart)) {
    outstanding += piece->m_size;
  }
  cr_assert(outstanding > ByteCount(0));
  cr_assert(outstanding <= BodyTransferSettings().m_window);
}

/// Plays uploads of 1.5 times the bandwidth for 10 s and counts the calls whose
/// body is complete before their objective. Without a bound all bodies share
/// the bandwidth, and after the first seconds none arrives in time.
Test(BodyTransfers, UploadsAboveTheBandwidthMakeAllOfThemLate)
{
  BodyTransfers transfers({});
  constexpr double kBytesPerSecond = 1'250'000;
  constexpr auto kInterval = std::chrono::microseconds(32'000);
  std::uint64_t offered = 0;
  std::uint64_t inTime = 0;
  std::uint64_t complete = 0;
  std::vector<std::pair<BodyPiece, MonotonicTime>> inFlight;
  MonotonicTime linkFree = kStart;
  for (MonotonicTime now = kStart; now < kStart + std::chrono::seconds(10);
       now += milliseconds(1)) {
    if (now >= kStart + kInterval * static_cast<int>(offered)) {
      ++offered;
      WaitingBody body = MakeBody(offered);
      body.m_call.m_deadline += now - kStart;
      body.m_call.m_objective += now - kStart;
      transfers.Offer(body, now);
    }
    transfers.TakeExpired(now);
    std::erase_if(inFlight, [&](const auto& aPiece) {
      if (aPiece.second > now) {
        return false;
      }
      if (transfers.Arrived(aPiece.first.m_ticket, aPiece.first.m_size, now)) {
        ++complete;
        const auto sentAt =
          kStart +
          kInterval * static_cast<int>(aPiece.first.m_ticket.Value() - 1);
        inTime += now - sentAt < milliseconds(680) ? 1 : 0;
      }
      return true;
    });
    while (const auto piece = transfers.Next(true, now)) {
      linkFree =
        std::max(linkFree, now) +
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          static_cast<double>(piece->m_size.Value()) / kBytesPerSecond));
      inFlight.emplace_back(*piece, linkFree);
    }
  }
  // 10 s of the link carry 208 bodies; 312 were offered.
  cr_assert_gt(complete, 190, "%zu", static_cast<std::size_t>(complete));
  cr_assert_gt(inTime, 150, "%zu", static_cast<std::size_t>(inTime));
}

Test(BodyTransfers, AnUnresponsiveEntryNodeBlocksTheOtherTransfers)
{
  BodyTransfers transfers({});
  transfers.Offer(MakeBody(1), kStart);
  transfers.Offer(MakeBody(2), kStart);
  while (transfers.Next(true, kStart)) {
  }
  const MonotonicTime later = kStart + BodyTransferSettings().m_stallTime;
  const auto piece = transfers.Next(true, later);
  cr_assert(piece && piece->m_ticket == Ticket(2));
  // A tick that is due at once, for good, would occupy the thread.
  cr_assert(*transfers.NextTick() > later);
}

Test(BodyTransfers, ABodyIsFetchedForACallWithoutASlot)
{
  BodyTransfers transfers({});
  transfers.Offer(MakeBody(1), kStart);
  cr_assert(!transfers.Next(false, kStart));
  const auto first = transfers.Next(true, kStart);
  cr_assert(first && first->m_offset == ByteCount(0));
  const auto second = transfers.Next(false, kStart);
  cr_assert(second && second->m_offset == first->m_size);
  cr_assert(!transfers.Arrived(Ticket(1), first->m_size, kStart));
  cr_assert(transfers.Arrived(Ticket(1), second->m_size, kStart));
  cr_assert_eq(transfers.Size(), 0);
}

Test(BodyTransfers, ACallThatCanNotBeServedWaitsUntilItsDeadline)
{
  BodyTransfers transfers({});
  std::size_t refused = 0;
  for (std::uint64_t ticket = 1; ticket <= 40; ++ticket) {
    refused +=
      transfers.Offer(MakeBody(ticket, milliseconds(1'000)), kStart).size();
  }
  // 1 s of 10 Mbit/s carries about 20 bodies.
  cr_assert_geq(refused, 20);
}

Test(BodyTransfers, ALateCallPrecedesATimelyOne)
{
  BodyTransfers transfers({});
  transfers.Offer(MakeBody(1, milliseconds(5'000), milliseconds(50)), kStart);
  transfers.Offer(MakeBody(2), kStart);
  transfers.Offer(MakeBody(3, milliseconds(5'000), milliseconds(900), 0),
                  kStart);
  cr_assert(transfers.Next(true, kStart)->m_ticket == Ticket(3));
}

} // namespace tarragontray
