# vh_package(NAME [USES lib...]) defines the static library vh_NAME from
# src/*.c, or an interface library if there are no sources, and its test
# programs (see vh_package_tests). USES lists the libraries that it links to.
function(vh_package name)
	cmake_parse_arguments(ARG "" "" "USES" ${ARGN})
	file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.c)
	if(sources)
		add_library(vh_${name} STATIC ${sources})
		target_include_directories(vh_${name}
			PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
			PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
		target_link_libraries(vh_${name} PUBLIC ${ARG_USES})
	else()
		add_library(vh_${name} INTERFACE)
		target_include_directories(vh_${name}
			INTERFACE ${CMAKE_CURRENT_SOURCE_DIR}/include)
		target_link_libraries(vh_${name} INTERFACE ${ARG_USES})
	endif()
	vh_package_tests(${name} vh_${name})
endfunction()

# vh_package_tests(NAME lib...) defines one test program per tests/test_*.cc,
# one benchmark program per tests/bench_*.c and, with VH_FUZZ, one libFuzzer
# program per fuzz/fuzz_*.c. The programs can include the package's private
# headers.
function(vh_package_tests name)
	if(NOT VH_TESTS)
		return()
	endif()
	file(GLOB tests CONFIGURE_DEPENDS
		${CMAKE_CURRENT_SOURCE_DIR}/tests/test_*.cc)
	foreach(test ${tests})
		get_filename_component(stem ${test} NAME_WE)
		add_executable(${name}_${stem} ${test})
		target_link_libraries(${name}_${stem} ${ARGN}
			GTest::gtest GTest::gtest_main)
		target_include_directories(${name}_${stem} PRIVATE
			${CMAKE_CURRENT_SOURCE_DIR}/src)
		add_test(NAME ${name}_${stem} COMMAND ${name}_${stem})
		set_tests_properties(${name}_${stem} PROPERTIES TIMEOUT 300)
	endforeach()
	file(GLOB benchmarks CONFIGURE_DEPENDS
		${CMAKE_CURRENT_SOURCE_DIR}/tests/bench_*.c)
	foreach(benchmark ${benchmarks})
		get_filename_component(stem ${benchmark} NAME_WE)
		add_executable(${name}_${stem} ${benchmark})
		target_link_libraries(${name}_${stem} ${ARGN})
		target_include_directories(${name}_${stem} PRIVATE
			${CMAKE_CURRENT_SOURCE_DIR}/src)
	endforeach()
	if(NOT VH_FUZZ)
		return()
	endif()
	file(GLOB harnesses CONFIGURE_DEPENDS
		${CMAKE_CURRENT_SOURCE_DIR}/fuzz/fuzz_*.c)
	foreach(harness ${harnesses})
		get_filename_component(stem ${harness} NAME_WE)
		add_executable(${name}_${stem} ${harness})
		target_link_libraries(${name}_${stem} ${ARGN})
		target_include_directories(${name}_${stem} PRIVATE
			${CMAKE_CURRENT_SOURCE_DIR}/src)
		target_link_options(${name}_${stem} PRIVATE -fsanitize=fuzzer)
		add_dependencies(vh_fuzz ${name}_${stem})
	endforeach()
endfunction()
