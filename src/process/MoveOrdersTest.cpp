#include "process/MoveOrders.h"

#include <charconv>

#include <criterion/criterion.h>

#include "version/ObjectKeys.h"

namespace tarragontray {

namespace {

using namespace std::chrono_literals;

constexpr WallTime kWall{ std::chrono::hours(24 * 365 * 50) };
const ServiceId kService{ ClientAccountId("a"), ServiceName("s") };

/// Decodes orders of the form "VERSION STATE", for example "v2 done"; "bad"
/// does not decode. "VERSION recorded" has a record that names no base, and
/// "VERSION after VERSION" the record of the order before.
class FakeDecoder final : public ConfigurationDecoder
{
public:
  Result<Template> DecodeTemplate(std::string_view /*aText*/) const override
  {
    return Error(ErrorCode::NotFound, "fake", "", "");
  }
  Result<AccountParameters> DecodeParameters(
    std::string_view /*aText*/) const override
  {
    return Error(ErrorCode::NotFound, "fake", "", "");
  }
  Result<MoveOrder> DecodeOrder(const Document& aDocument) const override
  {
    const std::string& text = aDocument.m_body;
    if (text == "bad") {
      return Error(ErrorCode::Malformed, "fake", "", "");
    }
    MoveOrder order;
    order.m_to = UpstreamVersion(text.substr(0, 2));
    order.m_id = { kService, PlanNumber(text[1] - '0') };
    order.m_duration = 16s;
    if (text.ends_with("recorded")) {
      order.m_recorded = MoveState::Moving;
      order.m_recordOf = order.m_id.m_plan;
    } else if (text.find(" after ") != std::string::npos) {
      const UpstreamVersion former(text.substr(text.size() - 2));
      order.m_recordOf = PlanNumber(former.Value()[1] - '0');
      order.m_base = NextBase({}, former, MoveState::Moving);
    }
    if (text.ends_with("done")) {
      order.m_recorded = MoveState::Done;
    } else if (text.ends_with("taken-back")) {
      order.m_recorded = MoveState::TakenBack;
    }
    return order;
  }
};

Document
Order(const char* aText, std::uint64_t aRevision)
{
  return { OrderKey(kService), Revision(aRevision), aText };
}

} // namespace

Test(MoveOrders, APlanStartsWhenItsOrderIsFirstSeen)
{
  const FakeDecoder decoder;
  MoveOrders orders(decoder);
  cr_assert(orders.Offer({ Order("v2", 5) }, kWall));
  cr_assert(orders.Offer({ Order("v2", 6) }, kWall + 3s));
  const auto plans = orders.Plans();
  cr_assert_eq(plans.size(), 1);
  cr_assert(plans.front().m_start == kWall);
  cr_assert(plans.front().m_deadline == kWall + 16s);
  cr_assert(plans.front().m_from.IsEmpty());
  cr_assert(orders.RevisionOf(plans.front().m_id) == Revision(6));
  cr_assert(!orders.EndedSplit(kService));
}

Test(MoveOrders, AfterTheEndOneSideGetsAllTraffic)
{
  const FakeDecoder decoder;
  MoveOrders orders(decoder);
  orders.Offer({ Order("v2 done", 5) }, kWall);
  cr_assert(orders.Plans().empty());
  const UpstreamVersion v1("v1");
  const UpstreamVersion v2("v2");
  const VersionSplit done = orders.EndedSplit(kService).value();
  cr_assert(done.Fits(done.m_from, v2) && !done.Fits(done.m_from, v1));
  orders.Offer({ Order("v2 taken-back", 6) }, kWall);
  const VersionSplit back = orders.EndedSplit(kService).value();
  cr_assert(back.Fits(back.m_from, v1) && !back.Fits(back.m_from, v2));
  // The next order starts a new move.
  orders.Offer({ Order("v3", 7) }, kWall + 9s);
  cr_assert(orders.Plans().front().m_start == kWall + 9s);
}

Test(MoveOrders, ADocumentThatDoesNotDecodeChangesNothing)
{
  const FakeDecoder decoder;
  MoveOrders orders(decoder);
  orders.Offer({ Order("v2", 5) }, kWall);
  cr_assert(!orders.Offer({ Order("bad", 6) }, kWall));
  cr_assert_eq(orders.Rejected(), 1);
  cr_assert_eq(orders.Plans().size(), 1);
  cr_assert(
    !orders.Offer({ { ObjectKey("nodes/x"), Revision(7), "v2" } }, kWall));
  cr_assert(orders.Offer({ Order("", 8) }, kWall));
  cr_assert(orders.Plans().empty());
}

/// The operator writes a lost order again; nobody but the nodes knows how its
/// move ended.
Test(MoveOrders, AnEndedMoveStartsAgainWhenThePlatformLosesItsOutcome)
{
  const FakeDecoder decoder;
  MoveOrders orders(decoder);
  const auto inEra =
    [](std::uint64_t aEra, std::uint64_t aNumber, const char* aText) {
      return Document{ OrderKey(kService),
                       *RevisionIn(PlatformEra(aEra), aNumber),
                       aText };
    };
  orders.Offer({ inEra(1, 5, "v2") }, kWall);
  orders.Offer({ inEra(1, 6, "v2 taken-back") }, kWall);
  cr_assert(orders.UnrecordedEnds().empty());
  for (const std::uint64_t number : { 4, 5 }) {
    orders.Offer({ inEra(2, number, "v2") }, kWall + 9s);
    cr_assert(orders.Plans().empty());
    const VersionSplit split = orders.EndedSplit(kService).value();
    cr_assert(!split.Fits(split.m_from, UpstreamVersion("v2")));
    const auto lost = orders.UnrecordedEnds();
    cr_assert_eq(lost.size(), 1);
    cr_assert(lost.front().m_state == MoveState::TakenBack);
    cr_assert(lost.front().m_plan.m_start == kWall);
    cr_assert(orders.RevisionOf(lost.front().m_plan.m_id) ==
              RevisionIn(PlatformEra(2), number));
  }
  orders.Offer({ inEra(2, 6, "v2 taken-back") }, kWall + 10s);
  cr_assert(orders.UnrecordedEnds().empty());
  // Another order is not the lost one.
  orders.Offer({ inEra(3, 2, "v3") }, kWall + 20s);
  cr_assert_eq(orders.Plans().size(), 1);
}

/// Every version but the ordered one got the other calls, among them the
/// version that was to be left.
Test(MoveOrders, GoingBackDuringAMoveSendsAllCallsToTheVersionThatIsLeft)
{
  const FakeDecoder decoder;
  MoveOrders orders(decoder);
  orders.Offer({ Order("v2", 5) }, kWall);
  orders.NameBase(orders.Plans().front().m_id, UpstreamVersion("v1"));
  orders.Offer({ Order("v1", 8) }, kWall + 3s);
  cr_assert(orders.Plans().empty());
  const VersionSplit split = orders.EndedSplit(kService).value();
  cr_assert(split.Fits(split.m_from, UpstreamVersion("v1")));
  cr_assert(!split.Fits(split.m_from, UpstreamVersion("v2")));
  const auto ends = orders.UnrecordedEnds();
  cr_assert_eq(ends.size(), 1);
  cr_assert(ends.front().m_state == MoveState::Done);
  cr_assert(orders.RevisionOf(ends.front().m_plan.m_id) == Revision(8));
  orders.Offer({ Order("v1 done", 9) }, kWall + 3s);
  cr_assert(orders.UnrecordedEnds().empty());
  // The version may be ordered again.
  orders.Offer({ Order("v2", 12) }, kWall + 9s);
  cr_assert_eq(orders.Plans().size(), 1);
}

/// The coordinator that recorded the order had just started and knew only the
/// upstreams of the new version.
Test(MoveOrders, ARecordThatNamesNoBaseErasesTheOneThatIsKnown)
{
  const FakeDecoder decoder;
  MoveOrders orders(decoder);
  orders.Offer({ Order("v2", 5) }, kWall);
  orders.NameBase(orders.Plans().front().m_id, UpstreamVersion("v1"));
  orders.Offer({ Order("v2 recorded", 6) }, kWall);
  orders.Offer({ Order("v1 after v2", 8) }, kWall + 3s);
  cr_assert(orders.Plans().empty());
  const VersionSplit split = orders.EndedSplit(kService).value();
  cr_assert(split.Fits(split.m_from, UpstreamVersion("v1")));
  cr_assert(!split.Fits(split.m_from, UpstreamVersion("v2")));
}

Test(MoveOrders, AnOrderThatReplacesARunningOneTakesItsVersionForTheBase)
{
  const FakeDecoder decoder;
  MoveOrders orders(decoder);
  orders.Offer({ Order("v2", 5) }, kWall);
  orders.NameBase(orders.Plans().front().m_id, UpstreamVersion("v1"));
  orders.Offer({ Order("v3", 8) }, kWall + 3s);
  const MovePlan plan = orders.Plans().front();
  cr_assert(plan.m_to == UpstreamVersion("v3"));
  cr_assert(plan.m_from == UpstreamVersion("v1"));
  cr_assert(plan.m_start == kWall + 3s);
  orders.Offer({ Order("v3 taken-back", 9) }, kWall + 5s);
  const VersionSplit split = orders.EndedSplit(kService).value();
  cr_assert(split.Fits(split.m_from, UpstreamVersion("v1")));
  cr_assert(!split.Fits(split.m_from, UpstreamVersion("v2")));
  cr_assert(!split.Fits(split.m_from, UpstreamVersion("v3")));
}

Test(MoveOrders, AVersionThatWasTakenBackCanNotBeOrderedAgain)
{
  const FakeDecoder decoder;
  MoveOrders orders(decoder);
  orders.Offer({ Order("v2", 5) }, kWall);
  orders.NameBase(orders.Plans().front().m_id, UpstreamVersion("v1"));
  orders.Offer({ Order("v2 taken-back", 6) }, kWall + 2s);
  orders.Offer({ Order("v3", 8) }, kWall + 3s);
  orders.Offer({ Order("v2", 12) }, kWall + 9s);
  cr_assert_eq(orders.Plans().size(), 1);
  cr_assert(orders.Plans().front().m_from == UpstreamVersion("v1"));
}

} // namespace tarragontray
