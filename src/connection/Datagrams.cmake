# Targets; see cmake/Targets.cmake.
tt_library(tt_zstd_patches
  SRCS ZstdPatchCodec.cpp DEPS tt_document_patch PkgConfig::ZSTD)
tt_test(document_patch_test SRCS DocumentPatchTest.cpp DEPS tt_zstd_patches)
tt_library(tt_datagrams
  SRCS DatagramCodec.cpp DEPS tt_datagram_size tt_cereal_types)
tt_test(datagram_codec_test SRCS DatagramCodecTest.cpp DEPS tt_datagrams)
tt_benchmark(datagram_benchmark SRCS DatagramBenchmark.cpp DEPS tt_datagrams)
