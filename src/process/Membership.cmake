tt_decision_library(tt_datagram_size
  SRCS DatagramSize.cpp HDRS DatagramSize.h DatagramLayout.h Pull.h
  DEPS tt_member_values)
