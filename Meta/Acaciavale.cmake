# Build options, and the functions that the CMakeLists.txt files call. Sources
# are globbed, so that a new source file needs no change of a build file.
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
if(NOT ACACIAVALE_NODE_ONLY)
  find_package(Protobuf REQUIRED)
  find_package(gRPC CONFIG REQUIRED)
  find_package(benchmark REQUIRED)
  find_package(Catch2 QUIET)
endif()
find_package(OpenSSL REQUIRED)
find_package(CURL REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS log log_setup thread filesystem)

add_compile_options(-Wall -Wextra -Werror -Wno-psabi)
if(ACACIAVALE_SANITIZE)
  # NOTE: With sanitizers, g++ 12 takes members of Beast for uninitialized.
  add_compile_options(-O1 -fsanitize=address,undefined,float-cast-overflow -fno-sanitize-recover=all
    -Wno-maybe-uninitialized)
  add_link_options(-fsanitize=address,undefined,float-cast-overflow)
endif()
add_compile_definitions(BOOST_LOG_DYN_LINK)
# LibCore handles assertions of Boost that do not hold. Otherwise they would end
# the process.
add_compile_definitions(BOOST_ENABLE_ASSERT_HANDLER)
# A linked but unused shared library would cost time and memory at each start.
add_link_options(-Wl,--as-needed)

# acaciavale_library(LibX link...) builds Libraries/LibX with its public headers
# under include/Acaciavale/LibX.
function(acaciavale_library NAME)
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${NAME}/*.cpp)
  if(SOURCES)
    add_library(${NAME} STATIC ${SOURCES})
    set(SCOPE PUBLIC)
    target_include_directories(${NAME} PRIVATE ${CMAKE_SOURCE_DIR}/Libraries)
  else()
    add_library(${NAME} INTERFACE)
    set(SCOPE INTERFACE)
  endif()
  target_include_directories(${NAME} ${SCOPE} ${CMAKE_SOURCE_DIR}/include)
  target_link_libraries(${NAME} ${SCOPE} ${ARGN} Threads::Threads)
endfunction()

# acaciavale_tests(LibX) builds Tests/LibX/*.cpp into TestLibX and
# registers it with CTest.
function(acaciavale_tests NAME)
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${NAME}/*.cpp)
  if(NOT SOURCES)
    return()
  endif()
  add_executable(Test${NAME} TestMain.cpp ${SOURCES})
  target_compile_definitions(Test${NAME} PRIVATE CPPUTEST_MEM_LEAK_DETECTION_DISABLED
    ACACIAVALE_SOURCE="${CMAKE_SOURCE_DIR}")
  target_include_directories(Test${NAME} PRIVATE ${CMAKE_SOURCE_DIR}/Libraries ${CMAKE_SOURCE_DIR}/Tests)
  target_link_libraries(Test${NAME} PRIVATE ${NAME} ${ARGN} CppUTest CppUTestExt rapidcheck)
  # KNOWN_RED_LibX holds the arguments that pass over a test of KNOWN-RED.txt.
  add_test(NAME ${NAME} COMMAND Test${NAME} ${KNOWN_RED_${NAME}})
  set_tests_properties(${NAME} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
