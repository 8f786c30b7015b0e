# Configuration targets; cmake/Targets.cmake defines the functions.
tt_decision_library(tt_expansion
  SRCS ChangeValidation.cpp Expansion.cpp FieldRules.cpp MovePlanRules.cpp
       ObjectKeys.cpp ParameterScope.cpp
  HDRS AccountParameters.h ChangeValidation.h ConfigurationDecoder.h Expansion.h
       FieldRules.h MovePlanRules.h ObjectKeys.h ParameterScope.h Template.h
  DEPS tt_configuration)
tt_library(tt_configuration_json
  SRCS ConfigurationHistory.cpp JsonDifference.cpp JsonObject.cpp
       ParametersJson.cpp TemplateJson.cpp
  DEPS tt_expansion tt_json)
# Test data and mutators, for tests only.
tt_library(tt_configuration_samples
  SRCS ConfigurationSamples.cpp JsonMutations.cpp TextMutator.cpp
  DEPS tt_configuration_json)
tt_test(expansion_test
  SRCS ChangeValidationTest.cpp ConfigurationHistoryTest.cpp
       ConfigurationJsonTest.cpp ExpansionTest.cpp
  DEPS tt_configuration_samples)
tt_test(examples_test SRCS ExamplesTest.cpp DEPS tt_configuration_json)
tt_test(decoder_fuzz_test SRCS DecoderFuzzTest.cpp
  DEPS tt_configuration_samples)
tt_benchmark(expansion_benchmark SRCS ExpansionBenchmark.cpp
  DEPS tt_configuration_samples)
