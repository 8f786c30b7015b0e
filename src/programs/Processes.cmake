# Targets; see cmake/Targets.cmake.
tt_library(tt_local_deployment
  SRCS testing/ChildProcess.cpp testing/LocalDeployment.cpp
  DEPS tt_http_client tt_json)
tt_test(process_test SRCS ProcessTest.cpp DEPS tt_local_deployment TIMEOUT 300)
tt_test(misbehaving_clients_test SRCS MisbehavingClientsTest.cpp
  DEPS tt_misbehaving_clients TIMEOUT 900 SERIAL)
if(TARRAGONTRAY_TESTS)
  tt_library(tt_misbehaving_clients
    SRCS testing/ClientGroup.cpp testing/MisbehavingClients.cpp
    DEPS tt_local_deployment PkgConfig::CRITERION)
  add_dependencies(misbehaving_clients_test tarragontray-node standin-platform
                   standin-upstream)
  add_dependencies(process_test tarragontray-node standin-platform
                   standin-upstream tarragontray-load)
endif()
