# Targets; see cmake/Targets.cmake.
tt_library(tt_ctl
  SRCS CtlChange.cpp CtlCommand.cpp CtlConfigurations.cpp CtlExplain.cpp CtlExplainRequest.cpp
       CtlExplainVersion.cpp LogLines.cpp
       CtlFormat.cpp CtlMoves.cpp CtlMoveView.cpp CtlNodes.cpp
       CtlNodeStatus.cpp CtlOutcome.cpp CtlSession.cpp CtlTemplates.cpp
       CtlWait.cpp
  DEPS tt_conditional_writer tt_configuration_json tt_expansion tt_http_client
       tt_json tt_platform_session tt_settings)
tt_program(tarragontrayctl SRCS CtlMain.cpp DEPS tt_ctl)
tt_test(ctl_test SRCS CtlMovesTest.cpp CtlRaceTest.cpp CtlTest.cpp CtlTestFixture.cpp
  DEPS tt_ctl tt_standin_platform tt_faulty_http_server
       tt_configuration_samples)
