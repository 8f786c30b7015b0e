# Targets; see cmake/Targets.cmake.
tt_library(tt_faulty_http_server SRCS FaultyHttpServer.cpp
  DEPS tt_base tt_call Threads::Threads)
tt_library(tt_standin_platform
  SRCS StandinPlatform.cpp StandinPlatformAdmin.cpp StandinPlatformStore.cpp
  DEPS tt_platform_messages tt_faulty_http_server tt_json)
tt_program(standin-platform SRCS StandinPlatformMain.cpp
  DEPS tt_standin_platform tt_settings)
