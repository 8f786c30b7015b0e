# Targets; see cmake/Targets.cmake.
tt_library(tt_datagrams
  SRCS DatagramCodec.cpp DEPS tt_datagram_size tt_cereal_types)
tt_test(datagram_codec_test SRCS DatagramCodecTest.cpp DEPS tt_datagrams)
tt_benchmark(datagram_benchmark SRCS DatagramBenchmark.cpp DEPS tt_datagrams)
