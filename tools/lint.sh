#!/bin/sh
# Runs clang-tidy on every C file, several at a time, and then cppcheck.
set -eu
build=build-lint
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Debug \
	-DCMAKE_C_COMPILER=clang -DCMAKE_CXX_COMPILER=clang++ >/dev/null
git ls-files -co --exclude-standard 'packages/*.c' 'platform/*.c' |
	xargs -P 10 -n 2 clang-tidy -quiet -p "$build" 2>"$build/tidy.err" || {
	grep -v 'warnings generated' "$build/tidy.err" >&2 || true
	exit 1
}
git ls-files -co --exclude-standard 'packages/*.c' 'platform/*.c' |
	xargs cppcheck -j 10 --quiet --error-exitcode=1 --inline-suppr --library=tools/cppcheck.cfg \
		--enable=warning,performance,portability \
		--suppress=missingIncludeSystem --suppress=varFuncNullUB \
		$(for d in packages/*/include packages/*/src platform; do
			[ -d "$d" ] && printf -- '-I%s ' "$d"; done)
echo "lint clean"
