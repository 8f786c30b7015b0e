# Targets; see cmake/Targets.cmake.
tt_library(tt_frame_codec SRCS FrameCodec.cpp DEPS tt_call tt_cereal_types)
tt_test(frame_codec_test SRCS FrameCodecTest.cpp DEPS tt_frame_codec)

tt_library(tt_sockets SRCS Sockets.cpp DEPS tt_base Threads::Threads)
tt_library(tt_upstream_pool SRCS UpstreamPool.cpp DEPS tt_http_dialect tt_sockets)
tt_library(tt_http_server SRCS HttpServer.cpp HttpSession.cpp
  DEPS tt_caller_budget tt_http_dialect tt_sockets)
tt_test(http_server_test SRCS HttpServerTest.cpp DEPS tt_http_server)

tt_library(tt_peer_link SRCS FrameStream.cpp PeerLink.cpp
  DEPS tt_frame_codec tt_call_plan tt_sockets)
tt_benchmark(frame_benchmark SRCS FrameBenchmark.cpp DEPS tt_frame_codec)
tt_test(peer_link_test SRCS PeerLinkTest.cpp DEPS tt_peer_link)
tt_test(upstream_pool_test SRCS UpstreamPoolTest.cpp
  DEPS tt_http_server tt_upstream_pool)
tt_test(slow_link_test SRCS SlowLinkTest.cpp DEPS tt_peer_link)
tt_test(endless_answer_test SRCS EndlessAnswerTest.cpp DEPS tt_upstream_pool)
tt_test(http_fuzz_test SRCS HttpFuzzTest.cpp
  DEPS tt_http_server tt_upstream_pool)
