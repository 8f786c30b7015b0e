# One small target for each job. A target made with tt_decision_library holds
# decisions only: tools/check-decisions fails when its headers reach Asio,
# Beast, cereal or JSON.

set_property(GLOBAL PROPERTY TT_DECISION_SOURCES "")

# tt_library(NAME [SRCS files...] [DEPS targets...])
function(tt_library NAME)
  cmake_parse_arguments(ARG "" "" "SRCS;DEPS" ${ARGN})
  if(ARG_SRCS)
    add_library(${NAME} STATIC ${ARG_SRCS})
    target_link_libraries(${NAME} PUBLIC ${ARG_DEPS})
  else()
    add_library(${NAME} INTERFACE)
    target_link_libraries(${NAME} INTERFACE ${ARG_DEPS})
  endif()
endfunction()

# tt_decision_library(NAME [SRCS files...] [HDRS headers...] [DEPS targets...])
function(tt_decision_library NAME)
  cmake_parse_arguments(ARG "" "" "SRCS;HDRS;DEPS" ${ARGN})
  tt_library(${NAME} SRCS ${ARG_SRCS} DEPS ${ARG_DEPS})
  foreach(file ${ARG_SRCS} ${ARG_HDRS})
    set_property(GLOBAL APPEND PROPERTY TT_DECISION_SOURCES
                 ${CMAKE_CURRENT_SOURCE_DIR}/${file})
  endforeach()
endfunction()

# tt_test(NAME SRCS files... [DEPS targets...] [TIMEOUT seconds] [SERIAL])
# SERIAL: its cases run one at a time, and CTest runs no other test beside it.
function(tt_test NAME)
  if(NOT TARRAGONTRAY_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "SERIAL" "TIMEOUT" "SRCS;DEPS" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  set(jobs 2)
  if(ARG_SERIAL)
    set(jobs 1)
  endif()
  add_executable(${NAME} ${ARG_SRCS})
  target_link_libraries(${NAME} PRIVATE ${ARG_DEPS} PkgConfig::CRITERION)
  add_test(NAME ${NAME} COMMAND ${NAME} -j${jobs})
  set_tests_properties(${NAME} PROPERTIES TIMEOUT ${ARG_TIMEOUT}
    RUN_SERIAL $<BOOL:${ARG_SERIAL}>
    ENVIRONMENT "RC_PARAMS=seed=20261204;TT_GOLDEN_DIR=${CMAKE_CURRENT_SOURCE_DIR}/golden;TT_BIN_DIR=${CMAKE_BINARY_DIR}/bin;TT_EXAMPLES_DIR=${CMAKE_SOURCE_DIR}/examples")
endfunction()

# tt_benchmark(NAME SRCS files... [DEPS targets...]): built, run by tools/bench.
function(tt_benchmark NAME)
  if(NOT TARRAGONTRAY_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SRCS;DEPS" ${ARGN})
  add_executable(${NAME} ${ARG_SRCS})
  target_link_libraries(${NAME} PRIVATE ${ARG_DEPS} benchmark::benchmark)
endfunction()

# tt_program(NAME SRCS files... [DEPS targets...])
function(tt_program NAME)
  cmake_parse_arguments(ARG "" "" "SRCS;DEPS" ${ARGN})
  add_executable(${NAME} ${ARG_SRCS})
  target_link_libraries(${NAME} PRIVATE ${ARG_DEPS})
endfunction()

# Lists the decision sources for tools/check-decisions.
function(tt_write_decision_sources)
  get_property(sources GLOBAL PROPERTY TT_DECISION_SOURCES)
  string(REPLACE ";" "\n" lines "${sources}")
  file(WRITE ${CMAKE_BINARY_DIR}/decision-sources.txt "${lines}\n")
endfunction()
