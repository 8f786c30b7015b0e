# Targets; see cmake/Targets.cmake.
tt_decision_library(tt_accounts
  SRCS AccountPool.cpp FreshnessLease.cpp TokenClient.cpp
  HDRS AccountPool.h AccountRules.h DemandWindow.h FreshnessLease.h
       TokenClient.h ../connection/LeaseMessages.h
  DEPS tt_configuration)
tt_test(accounts_test
  SRCS AccountsTest.cpp FreshnessLeaseTest.cpp DEPS tt_accounts rapidcheck)
