# Wrapper around CMake and the scripts in tools/; `make help` lists the targets.
BUILD ?= build
SAN_BUILD ?= build-san
EXAMPLE ?= sitara
SEED ?= 1
DURATION ?= 60
JOBS ?= 10

.PHONY: help deps all build test lint format format-check run bench soak \
	fuzz clean

help:
	@echo 'make run [EXAMPLE=sitara|faserkreis] [KILL=1]  end-to-end run'
	@echo 'make test                    all tests, with sanitizers'
	@echo 'make bench                   benchmarks, compared with their bounds'
	@echo 'make soak SEED=1 DURATION=60 seeded faults, checked invariants'
	@echo 'make fuzz DURATION=60        libFuzzer harnesses'
	@echo 'make lint format             linters; formatter in place'

deps:
	@tools/deps.sh

build: deps
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
		>/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

test: deps
	@cmake -S . -B $(SAN_BUILD) -G Ninja -DCMAKE_BUILD_TYPE=Debug \
		-DVH_SANITIZE=ON >/dev/null
	@cmake --build $(SAN_BUILD) -j $(JOBS)
	@cd $(SAN_BUILD) && ctest --output-on-failure -j 4

run: build
	@EXAMPLE=$(EXAMPLE) KILL=$(KILL) tools/run.sh $(BUILD)

bench: build
	@tools/bench.sh $(BUILD)

soak: build
	@tools/soak.sh $(BUILD) $(SEED) $(DURATION)

fuzz: deps
	@tools/fuzz.sh $(DURATION)

lint: deps
	@tools/lint.sh

format:
	@git ls-files -co --exclude-standard '*.c' '*.h' '*.cc' | \
		xargs clang-format -i

format-check: deps
	@git ls-files -co --exclude-standard '*.c' '*.h' '*.cc' | \
		xargs clang-format --dry-run -Werror

clean:
	rm -rf build build-*
