# libgraniteseam: the decision makers in one static library, with a CMake package and a pkg-config
# file. The plumbing (settings, sockets, HTTP) stays out of it.
include(GNUInstallDirs)
include(CMakePackageConfigHelpers)

set(library_components common codec consensus storage lease bundle placement membership operation
  admission traffic control routing)

set(library_objects)
foreach(component ${library_components})
  get_target_property(type graniteseam_${component} TYPE)
  if(type STREQUAL "STATIC_LIBRARY")
    list(APPEND library_objects $<TARGET_OBJECTS:graniteseam_${component}>)
  endif()
endforeach()
add_library(graniteseam STATIC ${library_objects})
add_library(graniteseam::graniteseam ALIAS graniteseam)
target_compile_features(graniteseam PUBLIC cxx_std_20)
target_include_directories(graniteseam PUBLIC
  $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/include>
  $<BUILD_INTERFACE:${CMAKE_BINARY_DIR}/generated/include>
  $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
target_link_libraries(graniteseam PUBLIC
  Boost::headers avro tomlplusplus xxhash OpenSSL::Crypto Threads::Threads)
set_target_properties(graniteseam PROPERTIES VERSION ${PROJECT_VERSION} LINKER_LANGUAGE CXX)

install(TARGETS graniteseam EXPORT graniteseamTargets
  ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR} COMPONENT Development)
foreach(component ${library_components})
  if(EXISTS ${PROJECT_SOURCE_DIR}/include/graniteseam/${component})
    install(DIRECTORY ${PROJECT_SOURCE_DIR}/include/graniteseam/${component}
      DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/graniteseam COMPONENT Development
      FILES_MATCHING PATTERN "*.h")
  endif()
endforeach()
install(FILES ${CMAKE_BINARY_DIR}/generated/include/graniteseam/version.h
  DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/graniteseam COMPONENT Development)

set(package_folder ${CMAKE_INSTALL_LIBDIR}/cmake/graniteseam)
install(EXPORT graniteseamTargets NAMESPACE graniteseam::
  DESTINATION ${package_folder} COMPONENT Development)
configure_package_config_file(${PROJECT_SOURCE_DIR}/cmake/graniteseamConfig.cmake.in
  ${CMAKE_BINARY_DIR}/graniteseamConfig.cmake INSTALL_DESTINATION ${package_folder})
# Before 1.0.0 a minor version may change headers.
write_basic_package_version_file(${CMAKE_BINARY_DIR}/graniteseamConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES
  ${CMAKE_BINARY_DIR}/graniteseamConfig.cmake ${CMAKE_BINARY_DIR}/graniteseamConfigVersion.cmake
  ${PROJECT_SOURCE_DIR}/cmake/ImportedLibraries.cmake
  DESTINATION ${package_folder} COMPONENT Development)

# The prefix is only known when installing, so the file is written then.
install(CODE "
  set(PROJECT_VERSION ${PROJECT_VERSION})
  set(CMAKE_INSTALL_INCLUDEDIR ${CMAKE_INSTALL_INCLUDEDIR})
  set(CMAKE_INSTALL_LIBDIR ${CMAKE_INSTALL_LIBDIR})
  get_filename_component(CMAKE_INSTALL_PREFIX \"\${CMAKE_INSTALL_PREFIX}\" ABSOLUTE)
  configure_file(${PROJECT_SOURCE_DIR}/cmake/graniteseam.pc.in
    \"\${CMAKE_INSTALL_PREFIX}/${CMAKE_INSTALL_LIBDIR}/pkgconfig/graniteseam.pc\" @ONLY)
" COMPONENT Development)

foreach(program graniteseam-control graniteseam-router graniteseamctl)
  if(TARGET ${program})
    install(TARGETS ${program} RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR} COMPONENT Runtime)
  endif()
endforeach()
