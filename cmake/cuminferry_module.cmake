# cuminferry_add_module(NAME topic MAY_USE topic... LIBRARIES target...)
#
# One static library per module. A module sees the headers of the modules in
# MAY_USE and of no other: the include folder of each module is its own, so an
# include that the module graph does not allow fails to compile.
function(cuminferry_add_module)
  cmake_parse_arguments(ARG "" "NAME" "MAY_USE;LIBRARIES" ${ARGN})
  set(target cuminferry_${ARG_NAME})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_library(${target} STATIC ${sources})
  # The module's folder is staged behind a private include root of its own, so
  # that "cuminferry_core/cuminferry_core.h" is found only where it is allowed.
  set(root ${CMAKE_BINARY_DIR}/include/${ARG_NAME})
  file(MAKE_DIRECTORY ${root})
  file(CREATE_LINK ${CMAKE_CURRENT_SOURCE_DIR} ${root}/${target} SYMBOLIC)
  target_include_directories(${target} PUBLIC ${root})
  foreach(used IN LISTS ARG_MAY_USE)
    target_link_libraries(${target} PUBLIC cuminferry_${used})
  endforeach()
  target_link_libraries(${target} PUBLIC ${ARG_LIBRARIES} Threads::Threads)
  target_compile_options(${target} PRIVATE ${CUMINFERRY_WARNINGS})
endfunction()

set(CUMINFERRY_WARNINGS -Wall -Wextra -Werror)
if(CMAKE_CXX_COMPILER_ID MATCHES "Clang")
  list(APPEND CUMINFERRY_WARNINGS -Wthread-safety)
else()
  # g++ 12 warns of members that designated initializers leave at their defaults.
  list(APPEND CUMINFERRY_WARNINGS -Wno-missing-field-initializers)
endif()

# cuminferry_add_program(NAME name SOURCES file... LIBRARIES target...)
function(cuminferry_add_program)
  cmake_parse_arguments(ARG "" "NAME" "SOURCES;LIBRARIES" ${ARGN})
  add_executable(${ARG_NAME} ${ARG_SOURCES})
  target_link_libraries(${ARG_NAME} PRIVATE ${ARG_LIBRARIES})
  target_include_directories(${ARG_NAME} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
  target_compile_options(${ARG_NAME} PRIVATE ${CUMINFERRY_WARNINGS})
endfunction()

# cuminferry_add_test(NAME name SOURCES file... LIBRARIES target...)
# A CppUnit program; the main function stands in tests/support.
function(cuminferry_add_test)
  cmake_parse_arguments(ARG "KNOWN_RED" "NAME" "SOURCES;LIBRARIES" ${ARGN})
  add_executable(${ARG_NAME} ${ARG_SOURCES} ${CMAKE_SOURCE_DIR}/tests/support/test_main.cpp)
  target_include_directories(${ARG_NAME} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
  target_link_libraries(${ARG_NAME} PRIVATE ${ARG_LIBRARIES} PkgConfig::CPPUNIT rapidcheck)
  target_compile_options(${ARG_NAME} PRIVATE ${CUMINFERRY_WARNINGS})
  target_compile_definitions(${ARG_NAME} PRIVATE
    CUMINFERRY_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
    CUMINFERRY_BINARY_DIR="${CMAKE_BINARY_DIR}")
  if(ARG_KNOWN_RED)
    # Built here, run and reported apart by the line in KNOWN-RED.txt.
    return()
  endif()
  add_test(NAME ${ARG_NAME} COMMAND ${ARG_NAME})
  # Fixed seed: CI reaches the same verdict on each run.
  set_tests_properties(${ARG_NAME} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261202" TIMEOUT 300)
endfunction()
