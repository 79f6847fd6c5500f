#!/bin/sh
# Soaks boots of workers, SEED for DURATION seconds at most, with the nodes of
# target/. Exits with 1 if a rule was broken, then the record and the nodes' logs
# stay in LOGS; 0 if all held; 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
seed=${SEED:-1}
duration=${DURATION:-60}
logs=${LOGS:-target/soak-boots}
program=target/soak-boots/soak_boots
[ -x target/bin/vanillahollowd ] || exit 2
mkdir -p target/soak-boots "$logs" || exit 2
if [ ! -x $program ] ||
	[ tools/soak-boots/soak_boots.cc -nt $program ] ||
	[ tools/soak-boots/site.h -nt $program ]; then
	g++ -O1 -std=c++17 -Wall -Wextra -Wno-unused-function -pthread \
		-o $program tools/soak-boots/soak_boots.cc -ljansson || exit 2
fi
timeout -s KILL $((duration + 45)) $program "$logs/$seed.txt" "$seed" "$duration"
result=$?
[ "$result" -le 1 ] || result=2
[ "$result" -eq 0 ] && exit 0
folder=$(sed -n 's/.*logs in \([^,]*\),.*/\1/p' "$logs/$seed.txt" | head -1)
[ -d "$folder" ] && rm -rf "$logs/$seed" && mv "$folder" "$logs/$seed"
exit "$result"
