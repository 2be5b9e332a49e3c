# Functions that declare the project's targets. Sources are found by folder, so that adding a file
# needs no edit here.

add_library(graniteseam_options INTERFACE)
target_include_directories(graniteseam_options INTERFACE
  $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/include> $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}>
  $<BUILD_INTERFACE:${CMAKE_BINARY_DIR}/generated/include>
  $<INSTALL_INTERFACE:include>)
target_compile_options(graniteseam_options INTERFACE
  $<BUILD_INTERFACE:-Wall;-Wextra;-Wshadow;-Wnon-virtual-dtor;-Woverloaded-virtual>
  # In place of clang-tidy's modernize-use-nullptr, which version 14 raises on every defaulted <=>.
  $<BUILD_INTERFACE:$<$<COMPILE_LANGUAGE:CXX>:-Wzero-as-null-pointer-constant>>)
# GCC 12 warns falsely of `"text" + std::string` at -O3 (GCC bug 105651).
target_compile_options(graniteseam_options INTERFACE
  $<BUILD_INTERFACE:$<$<AND:$<CONFIG:Release>,$<COMPILE_LANG_AND_ID:CXX,GNU>>:-Wno-restrict>>)
if(GRANITESEAM_WARNINGS_AS_ERRORS)
  target_compile_options(graniteseam_options INTERFACE $<BUILD_INTERFACE:-Werror>)
endif()
if(GRANITESEAM_SEEDED_DEFECTS)
  target_compile_definitions(graniteseam_options INTERFACE GRANITESEAM_SEEDED_DEFECTS=1)
endif()
if(GRANITESEAM_SANITIZER)
  target_compile_options(graniteseam_options INTERFACE
    -fsanitize=${GRANITESEAM_SANITIZER} -fno-omit-frame-pointer)
  target_link_options(graniteseam_options INTERFACE -fsanitize=${GRANITESEAM_SANITIZER})
endif()

# A component: the library graniteseam_<name> from src/<name>/*.cc.
function(graniteseam_component name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/${name}/*.cc)
  set(target graniteseam_${name})
  if(sources)
    add_library(${target} STATIC ${sources})
    set(visibility PUBLIC)
  else()
    add_library(${target} INTERFACE)
    set(visibility INTERFACE)
  endif()
  list(TRANSFORM ARG_DEPENDS PREPEND graniteseam_)
  target_link_libraries(${target} ${visibility} graniteseam_options ${ARG_DEPENDS} ${ARG_LINK})
endfunction()

# A program from every .cc file of the calling folder's subfolder <folder>.
function(graniteseam_program name folder)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${folder}/*.cc)
  if(NOT sources)
    return()
  endif()
  add_executable(${name} ${sources})
  target_compile_definitions(${name} PRIVATE GRANITESEAM_VERSION="${PROJECT_VERSION}")
  target_link_libraries(${name} PRIVATE graniteseam_options ${ARG_LINK})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# A library of the testbed from testbed/<folder>/*.cc, for its programs and their tests.
function(graniteseam_testbed_library name folder)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${folder}/*.cc)
  if(NOT sources)
    return()
  endif()
  add_library(${name} STATIC ${sources})
  target_link_libraries(${name} PUBLIC graniteseam_options ${ARG_LINK})
endfunction()

# A Criterion test program from tests/<name>/*.cc, registered with CTest. JOBS: tests of it that run
# at once, 2 by default.
function(graniteseam_test name)
  cmake_parse_arguments(ARG "" "JOBS" "LINK" ${ARGN})
  if(NOT ARG_JOBS)
    set(ARG_JOBS 2)
  endif()
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cc)
  if(NOT sources)
    return()
  endif()
  add_executable(test_${name} ${sources})
  target_link_libraries(test_${name} PRIVATE graniteseam_options ${ARG_LINK} criterion rapidcheck)
  target_compile_definitions(test_${name} PRIVATE
    GRANITESEAM_SOURCE_DIR="${PROJECT_SOURCE_DIR}" GRANITESEAM_BINARY_DIR="${CMAKE_BINARY_DIR}")
  add_test(NAME ${name} COMMAND ${PROJECT_SOURCE_DIR}/tools/run-criterion ${name}
    $<TARGET_FILE:test_${name}> --jobs ${ARG_JOBS})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
