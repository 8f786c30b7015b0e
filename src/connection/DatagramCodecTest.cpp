#include "connection/DatagramCodec.h"

#include <criterion/criterion.h>

#include "base/Random.h"
#include "process/DatagramSize.h"

namespace tarragontray {

namespace {

MemberRecord
Record(int aNumber)
{
  MemberRecord record;
  record.m_vm = VmId("dc1-box-office-" + std::to_string(aNumber));
  record.m_dataCentre = DataCentreId("dc1");
  record.m_region = RegionId("addis");
  record.m_peerAddress = NetworkAddress(0x7F000101, 7000);
  record.m_incarnation = Incarnation(1'796'000'000'000'000);
  record.m_sequence = 300;
  record.m_state = NodeState::Suspect;
  record.m_upstream = { { ClientAccountId("mesqel-gate"),
                          ServiceName("box-office") },
                        UpstreamVersion("v2"),
                        UpstreamState::Draining,
                        SlotCount(12) };
  return record;
}

MoveProgress
Progress()
{
  MoveProgress progress;
  progress.m_move = { Record(1).m_upstream.m_service, PlanNumber(4) };
  const WallTime time{ std::chrono::seconds(1'796'000'000) };
  progress.m_dataCentres[DataCentreId("dc1")] = { ProgressEpoch(3),
                                                  Share::All(),
                                                  time };
  progress.m_dataCentres[DataCentreId("dc2")] = { {}, Share::None(), {} };
  progress.m_veto =
    Veto{ time, DataCentreId("dc2"), RouteName("buy"), "failures new=3/4" };
  return progress;
}

EvidenceReport
Evidence()
{
  EvidenceReport report;
  report.m_move = Progress().m_move;
  report.m_reporter = VmId("dc1-box-office-1");
  report.m_incarnation = Incarnation(9);
  report.m_dataCentre = DataCentreId("dc1");
  EvidenceEntry entry{ RouteName("buy"), UpstreamVersion("v2"), VmId("t"), {} };
  entry.m_counters.m_calls = 1000;
  entry.m_counters.m_latency[kLatencyBuckets - 1] = 7;
  report.m_entries.push_back(entry);
  return report;
}

Datagram
FullDatagram()
{
  Datagram datagram;
  datagram.m_kind = DatagramKind::IndirectPing;
  datagram.m_from = VmId("dc1-box-office-1");
  datagram.m_probe = 70'000;
  datagram.m_target = VmId("dc1-box-office-2");
  datagram.m_targetAddress = NetworkAddress(0x7F000102, 7000);
  datagram.m_path = SpreadPath{ VmId("dc1-box-office-3"), 0xFFFFFFFF };
  datagram.m_digest =
    StateDigest{ 1, { 0xFFFF'FFFF'FFFF'FFFFU, Revision(12) }, 3 };
  datagram.m_members = { Record(1), Record(2), Record(3) };
  datagram.m_documents = {
    { ObjectKey("configurations/mesqel-gate"), Revision(77), R"({"a": 1})" }
  };
  datagram.m_moves = { Progress() };
  datagram.m_evidence = { Evidence() };
  return datagram;
}

} // namespace

Test(DatagramCodec, DatagramRoundTrips)
{
  const Datagram datagram = FullDatagram();
  const Result<Datagram> read = DecodeDatagram(EncodeDatagram(datagram), "p");
  cr_assert(read.has_value());
  const Datagram& got = read.value();
  cr_assert(got.m_kind == datagram.m_kind && got.m_from == datagram.m_from);
  cr_assert(got.m_probe == datagram.m_probe);
  cr_assert(got.m_target == datagram.m_target);
  cr_assert(got.m_targetAddress == datagram.m_targetAddress);
  cr_assert(got.m_path == datagram.m_path);
  cr_assert(got.m_digest == datagram.m_digest);
  cr_assert(got.m_members == datagram.m_members);
  cr_assert(got.m_documents == datagram.m_documents);
  cr_assert(got.m_moves == datagram.m_moves);
  cr_assert_eq(got.m_evidence.size(), 1);
  const EvidenceReport& report = got.m_evidence[0];
  const EvidenceReport expected = Evidence();
  cr_assert(report.m_move == expected.m_move);
  cr_assert(report.m_reporter == expected.m_reporter);
  cr_assert(report.m_incarnation == expected.m_incarnation);
  cr_assert(report.m_dataCentre == expected.m_dataCentre);
  cr_assert_eq(report.m_entries.size(), 1);
  cr_assert(report.m_entries[0].m_target == expected.m_entries[0].m_target);
  cr_assert(report.m_entries[0].m_counters == expected.m_entries[0].m_counters);
}

Test(DatagramCodec, EncodedSizeIsExact)
{
  Datagram datagram = FullDatagram();
  cr_assert_eq(EncodedSize(datagram), EncodeDatagram(datagram).size());
  DatagramSize size(datagram);
  datagram.m_members.push_back(Record(200));
  cr_assert_eq(size.With(Record(200)), EncodeDatagram(datagram).size());
}

Test(DatagramCodec, RepeatedTextIsWrittenOnce)
{
  Datagram datagram;
  datagram.m_members = { Record(1) };
  const std::size_t one = EncodedSize(datagram);
  datagram.m_members.push_back(Record(2));
  // Only the VM, address, incarnation and numbers; other texts are shared.
  cr_assert_leq(EncodedSize(datagram) - one, 45);
}

Test(DatagramCodec, TruncationAtEveryByteIsRefused)
{
  const std::string bytes = EncodeDatagram(FullDatagram());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    const Result<Datagram> read =
      DecodeDatagram(std::string_view(bytes).substr(0, size), "127.0.0.1:1");
    cr_assert(!read.has_value(), "a prefix of %zu bytes was accepted", size);
    cr_assert(read.error().Code() == ErrorCode::Malformed);
    cr_assert(read.error().Peer() == "127.0.0.1:1");
  }
}

Test(DatagramCodec, TrailingBytesAndOtherFormatsAreRefused)
{
  std::string bytes = EncodeDatagram(FullDatagram());
  cr_assert(!DecodeDatagram(bytes + "x", "p").has_value());
  bytes[0] = static_cast<char>(kDatagramFormat + 1);
  cr_assert(!DecodeDatagram(bytes, "p").has_value());
}

Test(DatagramCodec, CorruptedBytesNeverReadPastTheEnd)
{
  const std::string valid = EncodeDatagram(FullDatagram());
  std::size_t refused = 0;
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    SeededRandom random(seed);
    std::string bytes = valid;
    const std::uint64_t changes = 1 + random.Below(8);
    for (std::uint64_t i = 0; i < changes; ++i) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Next());
    }
    const Result<Datagram> read = DecodeDatagram(bytes, "p");
    refused += read.has_value() ? 0 : 1;
    // A datagram that still decodes can be encoded and has a bounded size.
    cr_assert(!read || EncodeDatagram(read.value()).size() < 8 * valid.size());
  }
  cr_assert_gt(refused, 500);
}

Test(DatagramCodec, PullsRoundTripAndRefuseTruncation)
{
  PullRequest request;
  request.m_from = VmId("a");
  request.m_members.emplace()[5] = 0xFFFFFFFF;
  request.m_documents.emplace()[kDigestBuckets - 1] = 1;
  request.m_moves = 8;
  const std::string asked = EncodePullRequest(request);
  const Result<PullRequest> readRequest = DecodePullRequest(asked, "p");
  cr_assert(readRequest.has_value());
  cr_assert(readRequest.value().m_members == request.m_members);
  cr_assert(readRequest.value().m_documents == request.m_documents);
  cr_assert(readRequest.value().m_moves == request.m_moves);
  cr_assert_eq(EncodedSize(request), asked.size());

  PullAnswer answer;
  answer.m_busy = true;
  answer.m_floor = Revision(300);
  answer.m_members = { Record(1) };
  answer.m_documents = FullDatagram().m_documents;
  answer.m_moves = { Progress() };
  const std::string bytes = EncodePullAnswer(answer);
  cr_assert_eq(EncodedSize(answer), bytes.size());
  const Result<PullAnswer> read = DecodePullAnswer(bytes, "p");
  cr_assert(read.has_value() && read.value().m_busy);
  cr_assert(read.value().m_floor == answer.m_floor);
  cr_assert(read.value().m_members == answer.m_members);
  cr_assert(read.value().m_documents == answer.m_documents);
  cr_assert(read.value().m_moves == answer.m_moves);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    cr_assert(!DecodePullAnswer(bytes.substr(0, size), "p").has_value());
  }
}

} // namespace tarragontray
