#!/bin/sh
# fuzz.sh [SECONDS]: runs every libFuzzer harness for SECONDS, one after
# another. The harness packages/NAME/fuzz/fuzz_X.c starts from the seed corpus
# packages/NAME/fuzz/corpus_X; inputs found later are kept in build-fuzz/corpus.
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
	harness_dir=$(dirname "$source")
	harness=$(basename "$source" .c)
	package=$(basename "$(dirname "$harness_dir")")
	[ "$package" = platform ] && package=users_platform
	corpus="$build/corpus/${package}_$harness"
	seed_corpus="$harness_dir/corpus_${harness#fuzz_}"
	mkdir -p "$corpus"
	[ -d "$seed_corpus" ] || seed_corpus=
	echo "fuzz ${package}_$harness: $duration s"
	"$build/bin/${package}_$harness" -max_total_time="$duration" \
		-rss_limit_mb=2048 -timeout=10 -print_final_stats=1 \
		-verbosity=0 -artifact_prefix="$corpus/../" \
		"$corpus" $seed_corpus 2>"$corpus.log" || {
		failed=$((failed + 1))
		tail -n 40 "$corpus.log" >&2
		echo "fuzz ${package}_$harness: FAILED, input kept in $build/corpus"
		continue
	}
	sed -n 's/^stat::number_of_executed_units: */  inputs: /p' "$corpus.log"
done
[ "$failed" -eq 0 ] || exit 1
echo "no crash found"
