# Targets; see cmake/Targets.cmake.
tt_library(tt_settings SRCS Settings.cpp DEPS tt_base)
tt_test(settings_test SRCS SettingsTest.cpp DEPS tt_settings)

tt_library(tt_log SRCS Log.cpp
  DEPS tt_base Boost::log Boost::log_setup Boost::thread)

tt_library(tt_thread_loop SRCS ThreadLoop.cpp DEPS tt_base Threads::Threads)

tt_library(tt_metrics SRCS Metrics.cpp DEPS tt_call prometheus-cpp::core)
tt_test(metrics_test SRCS MetricsTest.cpp DEPS tt_metrics)

tt_library(tt_front_thread SRCS FrontThread.cpp
  DEPS tt_call_runner tt_http_server tt_ledger tt_metrics tt_thread_loop)
tt_library(tt_guard_thread SRCS GuardThread.cpp
  DEPS tt_frame_codec tt_guard tt_ledger tt_log tt_metrics tt_peer_link
       tt_thread_loop tt_upstream_pool)

tt_decision_library(tt_view_builder
  SRCS ViewBuilder.cpp HDRS ViewBuilder.h DEPS tt_balancing)
tt_library(tt_node_settings SRCS NodeSettings.cpp DEPS tt_settings)
