# Targets; see cmake/Targets.cmake.
tt_library(tt_settings SRCS Settings.cpp DEPS tt_base)
tt_test(settings_test SRCS SettingsTest.cpp DEPS tt_settings)

tt_library(tt_log SRCS Log.cpp
  DEPS tt_base Boost::log Boost::log_setup Boost::thread)

tt_library(tt_thread_loop SRCS ThreadLoop.cpp DEPS tt_base Threads::Threads)

tt_library(tt_metrics SRCS Metrics.cpp DEPS tt_call prometheus-cpp::core)
tt_test(metrics_test SRCS MetricsTest.cpp DEPS tt_metrics)
