# Targets; see cmake/Targets.cmake.
tt_library(tt_settings SRCS Settings.cpp SettingsFile.cpp DEPS tt_base)
tt_test(settings_test SRCS SettingsTest.cpp DEPS tt_settings)

tt_library(tt_log SRCS CrashHandler.cpp Log.cpp
  DEPS tt_base Boost::log Boost::log_setup Boost::thread)

tt_library(tt_thread_loop SRCS ThreadLoop.cpp DEPS tt_base Threads::Threads)

tt_decision_library(tt_caller_budget
  SRCS CallerBudget.cpp HDRS CallerBudget.h DEPS tt_base)
tt_test(caller_budget_test SRCS CallerBudgetTest.cpp DEPS tt_caller_budget)

tt_library(tt_metrics SRCS Metrics.cpp DEPS tt_call tt_caller_budget prometheus-cpp::core)
tt_test(metrics_test SRCS MetricsTest.cpp DEPS tt_metrics)

tt_library(tt_front_thread SRCS AccountGate.cpp FrontThread.cpp
  DEPS tt_accounts tt_call_runner tt_http_server tt_ledger tt_log tt_metrics tt_thread_loop)
tt_test(front_thread_test SRCS FrontThreadTest.cpp DEPS tt_front_thread)
tt_library(tt_guard_thread SRCS GuardThread.cpp
  DEPS tt_accounts tt_frame_codec tt_guard tt_http_client tt_ledger tt_log tt_metrics tt_peer_link
       tt_thread_loop tt_upstream_pool)
tt_test(guard_thread_test SRCS GuardThreadTest.cpp
  DEPS tt_guard_thread tt_http_server)

tt_test(account_gate_test SRCS AccountGateTest.cpp
  DEPS tt_front_thread tt_guard_thread)

tt_decision_library(tt_view_builder
  SRCS ViewBuilder.cpp HDRS ViewBuilder.h DEPS tt_balancing)
tt_library(tt_node_settings SRCS NodeSettings.cpp DEPS tt_gossip tt_settings)

tt_decision_library(tt_control_core
  SRCS ControlCore.cpp ControlMoves.cpp ControlUsage.cpp Evacuations.cpp EvidenceRouting.cpp MoveOrders.cpp UpstreamRegister.cpp
  HDRS ControlCore.h ControlDialect.h Evacuations.h EvidenceRouting.h MoveOrders.h
       TrafficReport.h UpstreamRegister.h
  DEPS tt_call_plan tt_http_dialect tt_configuration_store tt_gossip tt_ledger tt_moves
       tt_view_builder)
tt_library(tt_status SRCS StatusJson.cpp StatusPage.cpp
  DEPS tt_control_core tt_json tt_metrics)
tt_test(status_test SRCS StatusTest.cpp DEPS tt_status)
tt_library(tt_node_dialects SRCS NodeDialects.cpp
  DEPS tt_configuration_json tt_http_dialect tt_platform_session tt_status)
tt_library(tt_control_thread SRCS StateChangeLog.cpp ControlThread.cpp PlatformEntries.cpp
       PlatformLoop.cpp
  DEPS tt_accounts tt_control_core tt_datagrams tt_http_server tt_log tt_node_dialects
       tt_peer_link tt_platform_session tt_status tt_thread_loop)
tt_test(state_change_log_test SRCS StateChangeLogTest.cpp DEPS tt_control_thread)
tt_library(tt_node SRCS Node.cpp
  DEPS tt_control_thread tt_front_thread tt_guard_thread tt_node_settings
       tt_zstd_patches)
tt_test(node_test SRCS NodeTest.cpp DEPS tt_node)
tt_library(tt_node_program SRCS NodeProgram.cpp DEPS tt_node)
tt_test(crash_handler_test SRCS CrashHandlerTest.cpp DEPS tt_log)
tt_test(view_builder_test SRCS ViewBuilderTest.cpp DEPS tt_view_builder)
tt_benchmark(view_benchmark SRCS ViewBenchmark.cpp DEPS tt_view_builder)
tt_test(evidence_routing_test SRCS EvidenceRoutingTest.cpp DEPS tt_control_core)
tt_test(upstream_control_test
  SRCS MoveOrdersTest.cpp UpstreamRegisterTest.cpp DEPS tt_control_core)
tt_test(control_core_test SRCS ControlCoreTest.cpp DEPS tt_control_core)
tt_test(node_settings_test SRCS NodeSettingsTest.cpp DEPS tt_node_settings)
tt_test(evacuations_test SRCS EvacuationsTest.cpp DEPS tt_control_core)
tt_test(platform_loop_test SRCS PlatformLoopTest.cpp DEPS tt_control_thread)
tt_test(restored_platform_test SRCS RestoredPlatformTest.cpp
  DEPS tt_control_thread tt_standin_platform)
