# Targets; see cmake/Targets.cmake.
tt_library(tt_load
  SRCS AnswerCheck.cpp ExecutionAudit.cpp LoadMix.cpp RunReport.cpp
       LoadRunner.cpp
  DEPS tt_answer_body tt_call tt_execution_log tt_http_client tt_json
       tt_move_values tt_text_file)
tt_program(tarragontray-load SRCS LoadMain.cpp DEPS tt_load tt_settings)
tt_test(load_test SRCS LoadTest.cpp DEPS tt_load tt_standin_upstream)
