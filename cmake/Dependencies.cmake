# Libraries that graniteseam builds on. All of them are Debian packages; tools/install-packages
# installs them.
find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Boost 1.81 REQUIRED)
find_package(TBB REQUIRED)
find_package(spdlog REQUIRED)
find_package(nlohmann_json REQUIRED)

# Declares an imported target for a library that ships no CMake package.
function(graniteseam_imported_library target library header)
  find_library(${target}_LIBRARY ${library} REQUIRED)
  find_path(${target}_INCLUDE ${header} REQUIRED)
  add_library(${target} UNKNOWN IMPORTED GLOBAL)
  set_target_properties(${target} PROPERTIES
    IMPORTED_LOCATION ${${target}_LIBRARY}
    INTERFACE_INCLUDE_DIRECTORIES ${${target}_INCLUDE})
endfunction()

graniteseam_imported_library(avro avro avro.h)
graniteseam_imported_library(cpp-httplib cpp-httplib httplib.h)
# Debian builds its libcpp-httplib with these; the header must see the same.
set_target_properties(cpp-httplib PROPERTIES INTERFACE_COMPILE_DEFINITIONS
  "CPPHTTPLIB_OPENSSL_SUPPORT;CPPHTTPLIB_ZLIB_SUPPORT;CPPHTTPLIB_BROTLI_SUPPORT")
graniteseam_imported_library(tomlplusplus tomlplusplus toml++/toml.h)
set_target_properties(tomlplusplus PROPERTIES INTERFACE_COMPILE_DEFINITIONS "TOML_HEADER_ONLY=0;TOML_SHARED_LIB=1")
graniteseam_imported_library(prometheus-cpp-core prometheus-cpp-core prometheus/registry.h)
graniteseam_imported_library(xxhash xxhash xxhash.h)
graniteseam_imported_library(criterion criterion criterion/criterion.h)
graniteseam_imported_library(rapidcheck rapidcheck rapidcheck.h)
