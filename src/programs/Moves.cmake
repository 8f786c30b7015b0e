tt_program(tarragontray-experiment-moves
  SRCS MoveExperiment.cpp DEPS tt_move_session tt_json tt_settings)
