tt_decision_library(tt_ledger SRCS Ledger.cpp HDRS Ledger.h DEPS tt_base)
  tt_test(ledger_test SRCS LedgerTest.cpp DEPS tt_ledger)
