# Targets; see cmake/Targets.cmake.
tt_library(tt_http_client SRCS HttpClient.cpp
  DEPS tt_base tt_call tt_sockets Threads::Threads)
tt_test(http_client_test SRCS HttpClientTest.cpp DEPS tt_http_client)
tt_library(tt_platform_messages SRCS PlatformMessages.cpp
  DEPS tt_platform_interface tt_call tt_json tt_url)
tt_library(tt_platform_session SRCS PlatformSession.cpp
  DEPS tt_platform_interface tt_platform_messages tt_http_client
       tt_http_dialect)
tt_test(platform_session_test SRCS PlatformSessionTest.cpp
  DEPS tt_platform_session tt_standin_platform tt_faulty_http_server)
tt_test(platform_messages_test SRCS PlatformMessagesTest.cpp
  DEPS tt_platform_messages tt_configuration_samples)
