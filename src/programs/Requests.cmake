tt_program(tarragontray-experiment-requests
  SRCS RequestExperiment.cpp DEPS tt_request_model tt_json tt_settings)
