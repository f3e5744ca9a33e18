# `make demo` and `make test` work on a fresh machine.

GO ?= go
TEST_FLAGS ?= -count=1 -timeout=12m
PROGRAMS := stepseamd stepseamctl stepseam-lab

.PHONY: build demo site test unit lint format soak soak-platform clean

build:
	@mkdir -p bin
	@for program in $(PROGRAMS); do $(GO) build -o bin/$$program ./cmd/$$program || exit 1; done

test: lint unit

unit:
	GO="$(GO)" TEST_FLAGS="$(TEST_FLAGS)" scripts/unit

lint:
	@unformatted=$$($(GO) tool gofumpt -l .); if [ -n "$$unformatted" ]; then echo "gofumpt: not formatted:"; echo "$$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) tool revive -config revive.toml -set_exit_status ./...

demo: build
	bin/stepseam-lab demo --programs bin

# Runs the demonstration's site until it is interrupted.
site: build
	bin/stepseam-lab site --programs bin

# Searches seeded failure schedules: make soak SCHEDULES=10000 SEED=1. Runs JOBS
# concurrent searches, each with its own seed.
SCHEDULES ?= 1000
SEED ?= 1
JOBS ?= 6
soak:
	SCHEDULES=$(SCHEDULES) SEED=$(SEED) JOBS=$(JOBS) GO="$(GO)" scripts/soak

format:
	$(GO) tool gofumpt -w .

clean:
	rm -rf bin

# Injects random faults into real processes: make soak-platform SECONDS=120 SEED=7.
SECONDS ?= 60
soak-platform:
	SOAK_SECONDS=$(SECONDS) SOAK_SEED=$(SEED) $(GO) test ./platform -count=1 -timeout=20m -run 'TestPromisesHoldUnderRandomFaults|TestLimitHoldsUnderOverlappingProcessFaults|TestKeptTurnsAndBudgetsHoldOverAShortHistory' -v
