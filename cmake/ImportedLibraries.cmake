# Imported targets for libraries that ship no CMake package. Used by the build and, installed beside
# graniteseamConfig.cmake, by those who use the package.

function(graniteseam_imported_library target library header)
  if(TARGET ${target})
    return()
  endif()
  find_library(${target}_LIBRARY ${library} REQUIRED)
  find_path(${target}_INCLUDE ${header} REQUIRED)
  add_library(${target} UNKNOWN IMPORTED GLOBAL)
  set_target_properties(${target} PROPERTIES
    IMPORTED_LOCATION ${${target}_LIBRARY}
    INTERFACE_INCLUDE_DIRECTORIES ${${target}_INCLUDE})
endfunction()

# What libgraniteseam itself links with.
macro(graniteseam_library_dependencies)
  graniteseam_imported_library(avro avro avro.h)
  graniteseam_imported_library(tomlplusplus tomlplusplus toml++/toml.h)
  set_target_properties(tomlplusplus PROPERTIES
    INTERFACE_COMPILE_DEFINITIONS "TOML_HEADER_ONLY=0;TOML_SHARED_LIB=1")
  graniteseam_imported_library(xxhash xxhash xxhash.h)
endmacro()
