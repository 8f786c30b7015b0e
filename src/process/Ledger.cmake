# Targets; see cmake/Targets.cmake.
