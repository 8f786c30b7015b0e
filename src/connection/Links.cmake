# Targets; see cmake/Targets.cmake.
tt_library(tt_frame_codec SRCS FrameCodec.cpp DEPS tt_call tt_cereal_types)
tt_test(frame_codec_test SRCS FrameCodecTest.cpp DEPS tt_frame_codec)

tt_library(tt_upstream_pool SRCS UpstreamPool.cpp DEPS tt_call Threads::Threads)
