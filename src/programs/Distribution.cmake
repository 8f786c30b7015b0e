tt_library(tt_distribution_scenarios
  SRCS DistributionScenarios.cpp WatchBaseline.cpp DEPS tt_fake_network)
tt_program(tarragontray-experiment-distribution
  SRCS DistributionExperiment.cpp DEPS tt_distribution_scenarios)
tt_test(distribution_scenarios_test
  SRCS DistributionScenariosTest.cpp DEPS tt_distribution_scenarios)
