# vh_package(NAME [USES lib...]) makes the static library vh_NAME from src/*.c
# and one test program per tests/test_*.cc; USES lists what it depends on.
function(vh_package name)
	cmake_parse_arguments(P "" "" "USES" ${ARGN})
	file(GLOB srcs CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.c)
	if(srcs)
		add_library(vh_${name} STATIC ${srcs})
		target_include_directories(vh_${name}
			PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
			PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
		target_link_libraries(vh_${name} PUBLIC ${P_USES})
	else()
		add_library(vh_${name} INTERFACE)
		target_include_directories(vh_${name}
			INTERFACE ${CMAKE_CURRENT_SOURCE_DIR}/include)
		target_link_libraries(vh_${name} INTERFACE ${P_USES})
	endif()
	vh_package_tests(${name} vh_${name})
endfunction()

# vh_package_tests(NAME lib...) makes one test program per tests/test_*.cc, one
# benchmark program per tests/bench_*.c and, with VH_FUZZ, one libFuzzer program
# per fuzz/fuzz_*.c. They see the package's private headers.
function(vh_package_tests name)
	if(NOT VH_TESTS)
		return()
	endif()
	file(GLOB tests CONFIGURE_DEPENDS
		${CMAKE_CURRENT_SOURCE_DIR}/tests/test_*.cc)
	foreach(t ${tests})
		get_filename_component(base ${t} NAME_WE)
		add_executable(${name}_${base} ${t})
		target_link_libraries(${name}_${base} ${ARGN}
			GTest::gtest GTest::gtest_main)
		target_include_directories(${name}_${base} PRIVATE
			${CMAKE_CURRENT_SOURCE_DIR}/src)
		add_test(NAME ${name}_${base} COMMAND ${name}_${base})
		set_tests_properties(${name}_${base} PROPERTIES TIMEOUT 300)
	endforeach()
	file(GLOB benches CONFIGURE_DEPENDS
		${CMAKE_CURRENT_SOURCE_DIR}/tests/bench_*.c)
	foreach(b ${benches})
		get_filename_component(base ${b} NAME_WE)
		add_executable(${name}_${base} ${b})
		target_link_libraries(${name}_${base} ${ARGN})
		target_include_directories(${name}_${base} PRIVATE
			${CMAKE_CURRENT_SOURCE_DIR}/src)
	endforeach()
	if(NOT VH_FUZZ)
		return()
	endif()
	file(GLOB harnesses CONFIGURE_DEPENDS
		${CMAKE_CURRENT_SOURCE_DIR}/fuzz/fuzz_*.c)
	foreach(h ${harnesses})
		get_filename_component(base ${h} NAME_WE)
		add_executable(${name}_${base} ${h})
		target_link_libraries(${name}_${base} ${ARGN})
		target_include_directories(${name}_${base} PRIVATE
			${CMAKE_CURRENT_SOURCE_DIR}/src)
		target_link_options(${name}_${base} PRIVATE -fsanitize=fuzzer)
		add_dependencies(vh_fuzz ${name}_${base})
	endforeach()
endfunction()
