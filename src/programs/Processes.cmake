# Targets; see cmake/Targets.cmake.
tt_library(tt_local_deployment
  SRCS testing/ChildProcess.cpp testing/LocalDeployment.cpp
  DEPS tt_http_client tt_json)
tt_test(process_test SRCS ProcessTest.cpp DEPS tt_local_deployment TIMEOUT 300)
if(TARRAGONTRAY_TESTS)
  add_dependencies(process_test tarragontray-node standin-platform
                   standin-upstream tarragontray-load)
endif()
