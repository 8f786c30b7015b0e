tt_decision_library(tt_moves
  SRCS BriefJudge.cpp BriefMovePolicy.cpp EvidenceTable.cpp FixedStepPolicy.cpp LoadComparison.cpp
       LocalEvidence.cpp Move.cpp MoveCoordinator.cpp Moves.cpp
       NodeMoveMonitor.cpp RouteComparison.cpp SequentialJudge.cpp
       SequentialMovePolicy.cpp SequentialTest.cpp SlowCallTest.cpp
  HDRS BriefJudge.h BriefMovePolicy.h EvidenceTable.h EvidenceWindow.h FixedStepPolicy.h LoadComparison.h
       LocalEvidence.h Move.h MoveCoordinator.h MovePolicy.h Moves.h MoveStatus.h
       NodeMoveMonitor.h RouteComparison.h SequentialJudge.h
       SequentialMovePolicy.h SequentialTest.h SlowCallTest.h
       VersionSplit.h
  DEPS tt_base tt_configuration tt_move_values)

# The simulation model of the upstreams and simulated sessions, for tests and
# experiments.
tt_library(tt_move_session
  SRCS testing/BriefScenarios.cpp testing/MoveScenarios.cpp testing/MoveSession.cpp testing/UpstreamModel.cpp
  DEPS tt_moves)
tt_test(move_progress_test SRCS MoveProgressTest.cpp DEPS tt_move_values)
tt_test(evidence_test SRCS EvidenceTest.cpp DEPS tt_moves)
tt_test(moves_test SRCS BriefMovePolicyTest.cpp MovesTest.cpp SlowCallTestTest.cpp
  DEPS tt_move_session)
tt_test(move_session_test SRCS MoveSessionTest.cpp DEPS tt_move_session)
tt_test(move_golden_test SRCS MoveGoldenTest.cpp DEPS tt_move_session)
tt_test(move_regression_test
  SRCS MoveRegressionTest.cpp DEPS tt_move_session)
tt_test(brief_move_regression_test
  SRCS BriefMoveRegressionTest.cpp DEPS tt_move_session)
