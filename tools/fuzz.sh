#!/bin/sh
# Runs every libFuzzer harness for DURATION seconds, one after another. The
# harness packages/NAME/fuzz/fuzz_X.c starts from the inputs in
# packages/NAME/fuzz/corpus_X; what it finds stays in build-fuzz.
set -eu
duration=${1:-60}
build=build-fuzz
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
	-DCMAKE_C_COMPILER=clang -DCMAKE_CXX_COMPILER=clang++ -DVH_FUZZ=ON \
	>/dev/null
cmake --build "$build" -j "${JOBS:-10}" --target vh_fuzz >"$build/build.log" || {
	cat "$build/build.log" >&2
	exit 1
}
failed=0
for source in packages/*/fuzz/fuzz_*.c platform/fuzz/fuzz_*.c; do
	folder=$(dirname "$source")
	name=$(basename "$source" .c)
	package=$(basename "$(dirname "$folder")")
	[ "$package" = platform ] && package=users_platform
	work="$build/corpus/${package}_$name"
	seeds="$folder/corpus_${name#fuzz_}"
	mkdir -p "$work"
	[ -d "$seeds" ] || seeds=
	echo "fuzz ${package}_$name: $duration s"
	"$build/bin/${package}_$name" -max_total_time="$duration" \
		-rss_limit_mb=2048 -timeout=10 -print_final_stats=1 \
		-verbosity=0 -artifact_prefix="$work/../" \
		"$work" $seeds 2>"$work.log" || {
		failed=$((failed + 1))
		tail -n 40 "$work.log" >&2
		echo "fuzz ${package}_$name: FAILED, input kept in $build/corpus"
		continue
	}
	sed -n 's/^stat::number_of_executed_units: */  inputs: /p' "$work.log"
done
[ "$failed" -eq 0 ] || exit 1
echo "no crash found"
