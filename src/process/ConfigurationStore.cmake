# Targets; see cmake/Targets.cmake.
tt_decision_library(tt_configuration_store
  SRCS ConfigurationStore.cpp DocumentTable.cpp
  HDRS ConfigurationStore.h DocumentTable.h
  DEPS tt_expansion)
tt_test(configuration_store_test
  SRCS ConfigurationStoreTest.cpp ConfigurationOrderTest.cpp
       DocumentTableTest.cpp
  DEPS tt_configuration_store tt_configuration_samples rapidcheck)
