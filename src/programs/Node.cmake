# Targets; see cmake/Targets.cmake.
tt_program(tarragontray-node SRCS Node.cpp DEPS tt_node_program)
