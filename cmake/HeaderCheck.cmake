# Compiles each public header alone, so that none leans on what another file included before it.
file(GLOB_RECURSE public_headers CONFIGURE_DEPENDS RELATIVE ${PROJECT_SOURCE_DIR}/include
  ${PROJECT_SOURCE_DIR}/include/graniteseam/*.h)
set(header_check_sources)
foreach(header ${public_headers})
  string(REPLACE "/" "_" name ${header})
  set(source ${CMAKE_BINARY_DIR}/header_check/${name}.cc)
  # The second inclusion shows a missing include guard.
  file(CONFIGURE OUTPUT ${source} CONTENT "#include \"@header@\"\n#include \"@header@\"\n" @ONLY)
  list(APPEND header_check_sources ${source})
endforeach()
add_library(graniteseam_header_check OBJECT ${header_check_sources})
target_compile_options(graniteseam_header_check PRIVATE -O0 -g0)
target_link_libraries(graniteseam_header_check PRIVATE
  graniteseam_control graniteseam_routing graniteseam_storage graniteseam_lease
  graniteseam_protocol graniteseam_http graniteseam_runtime)
