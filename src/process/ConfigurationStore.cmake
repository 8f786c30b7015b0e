# Targets; see cmake/Targets.cmake.
tt_decision_library(tt_configuration_store
  SRCS ConfigurationStore.cpp DocumentRevisions.cpp
  HDRS ConfigurationStore.h DocumentRevisions.h
  DEPS tt_expansion)
tt_test(configuration_store_test
  SRCS ConfigurationStoreTest.cpp ConfigurationOrderTest.cpp
       ConfigurationSessionTest.cpp
       DocumentRevisionsTest.cpp
  DEPS tt_configuration_store tt_configuration_samples rapidcheck)

tt_decision_library(tt_conditional_writer
  SRCS ConditionalWriter.cpp HDRS ConditionalWriter.h
  DEPS tt_platform_interface)
tt_test(conditional_writer_test SRCS ConditionalWriterTest.cpp
  DEPS tt_conditional_writer rapidcheck)
