# Libraries that graniteseam builds on. All of them are Debian packages; tools/install-packages
# installs them.
include(${CMAKE_CURRENT_LIST_DIR}/ImportedLibraries.cmake)

find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Boost 1.81 REQUIRED)
find_package(TBB REQUIRED)
find_package(spdlog REQUIRED)
find_package(fmt REQUIRED)
find_package(nlohmann_json REQUIRED)

graniteseam_library_dependencies()
graniteseam_imported_library(cpp-httplib cpp-httplib httplib.h)
# Debian builds its libcpp-httplib with these; the header must see the same.
set_target_properties(cpp-httplib PROPERTIES INTERFACE_COMPILE_DEFINITIONS
  "CPPHTTPLIB_OPENSSL_SUPPORT;CPPHTTPLIB_ZLIB_SUPPORT;CPPHTTPLIB_BROTLI_SUPPORT")
graniteseam_imported_library(prometheus-cpp-core prometheus-cpp-core prometheus/registry.h)
if(NOT GRANITESEAM_DEPLOYED_ONLY)
  graniteseam_imported_library(criterion criterion criterion/criterion.h)
  graniteseam_imported_library(rapidcheck rapidcheck rapidcheck.h)
endif()
