tt_decision_library(tt_datagram_size
  SRCS DatagramSize.cpp HDRS DatagramSize.h DatagramLayout.h Pull.h
  DEPS tt_member_values)
tt_decision_library(tt_membership
  SRCS Membership.cpp MembershipSending.cpp MemberTable.cpp Prober.cpp
       RecordConfirmations.cpp SpreadTree.cpp Suspicions.cpp
  HDRS BucketDigest.h IndirectProbes.h MemberTable.h Membership.h Prober.h
       RecordConfirmations.h SpreadTree.h Suspicions.h UpdateQueue.h
  DEPS tt_datagram_size)
tt_decision_library(tt_gossip
  SRCS DatagramMerge.cpp Distribution.cpp DocumentTable.cpp Gossip.cpp
       MoveGossip.cpp PatchHistory.cpp PullSchedule.cpp
  HDRS DatagramMerge.h Distribution.h DocumentTable.h Gossip.h MoveGossip.h
       PatchHistory.h PullSchedule.h RevisionChecks.h
  DEPS tt_membership)

tt_library(tt_fake_network SRCS testing/FakeNetwork.cpp testing/FakeNetworkChecks.cpp DEPS tt_gossip)
tt_test(gossip_test SRCS GossipTest.cpp DEPS tt_fake_network)
tt_test(distribution_test SRCS DistributionTest.cpp DEPS tt_fake_network)
tt_test(membership_test SRCS MembershipTest.cpp DEPS tt_fake_network)
tt_test(move_gossip_test SRCS MoveGossipTest.cpp DEPS tt_fake_network)
tt_test(gossip_session_test SRCS GossipSessionTest.cpp DEPS tt_fake_network)
tt_test(revision_checks_test SRCS RevisionChecksTest.cpp DEPS tt_fake_network)
tt_test(document_table_test SRCS DocumentTableTest.cpp DEPS tt_gossip)
tt_test(spread_tree_test SRCS SpreadTreeTest.cpp DEPS tt_membership)
tt_test(record_confirmations_test
  SRCS RecordConfirmationsTest.cpp DEPS tt_fake_network)
tt_test(prober_test SRCS ProberTest.cpp DEPS tt_membership)
tt_test(patch_history_test SRCS PatchHistoryTest.cpp DEPS tt_gossip)
tt_test(zone_distribution_test SRCS ZoneDistributionTest.cpp
  DEPS tt_fake_network tt_node_settings tt_zstd_patches)
