# Targets; see cmake/Targets.cmake.
tt_library(tt_faulty_http_server SRCS FaultyHttpServer.cpp
  DEPS tt_base tt_call Threads::Threads)
tt_library(tt_standin_platform
  SRCS StandinPlatform.cpp StandinPlatformAdmin.cpp StandinPlatformStore.cpp
  DEPS tt_platform_messages tt_faulty_http_server tt_json)
tt_test(standin_platform_test SRCS StandinPlatformTest.cpp
  DEPS tt_standin_platform tt_http_client)
tt_program(standin-platform SRCS StandinPlatformMain.cpp
  DEPS tt_standin_platform tt_settings)

tt_library(tt_text_file SRCS TextFile.cpp)
tt_library(tt_answer_body SRCS AnswerBody.cpp DEPS tt_base)
tt_library(tt_execution_log
  SRCS ExecutionLog.cpp UpstreamBehaviour.cpp UpstreamFaults.cpp
  DEPS tt_base tt_json)
tt_library(tt_standin_upstream
  SRCS StandinUpstream.cpp StandinReport.cpp
  DEPS tt_answer_body tt_execution_log tt_faulty_http_server tt_http_client
       tt_json tt_url)
tt_program(standin-upstream SRCS StandinUpstreamMain.cpp
  DEPS tt_standin_upstream tt_settings tt_text_file)
tt_test(standin_upstream_test SRCS StandinUpstreamTest.cpp
  DEPS tt_standin_upstream)
