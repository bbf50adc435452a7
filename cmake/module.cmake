# arbutusdale_module(NAME [DEPS target...]) makes the library arbutusdale_NAME from the sources of
# the calling folder, and the test program NAME_test from its *_test.cpp files.
function(arbutusdale_module name)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "(_test|_main|_example|_known_red)\\.cpp$")
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
  add_library(arbutusdale_${name} STATIC ${sources})
  target_link_libraries(arbutusdale_${name} PUBLIC arbutusdale_options ${ARG_DEPS})
  if(tests AND NOT ARBUTUSDALE_ENTRY_ONLY)
    arbutusdale_test(${name}_test ${tests})
    target_link_libraries(${name}_test PRIVATE arbutusdale_${name})
  endif()
endfunction()

# arbutusdale_test(NAME source...) makes a Criterion test program and registers it with ctest. The
# variable NAME_arguments adds arguments to its call.
function(arbutusdale_test name)
  add_executable(${name} ${ARGN})
  target_link_libraries(${name} PRIVATE arbutusdale_options PkgConfig::CRITERION)
  add_test(NAME ${name} COMMAND ${name} --jobs 4 ${${name}_arguments})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

# arbutusdale_program(NAME [DEPS target...] SOURCES source...) makes an executable.
function(arbutusdale_program name)
  cmake_parse_arguments(ARG "" "" "DEPS;SOURCES" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE arbutusdale_options ${ARG_DEPS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
