tt_decision_library(tt_usage_report HDRS UsageReport.h DEPS tt_base)
tt_decision_library(tt_ledger
  SRCS Ledger.cpp UsagePages.cpp HDRS Ledger.h UsagePages.h
  DEPS tt_usage_report)
tt_test(ledger_test SRCS LedgerTest.cpp UsagePagesTest.cpp DEPS tt_ledger)
