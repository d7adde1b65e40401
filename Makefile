# Targets for people and for CI. Everything is built from the Go module alone.

GOLANGCI_LINT_VERSION := v2.15.0
BIN := $(CURDIR)/.bin
LINT := $(BIN)/golangci-lint

.PHONY: build test lint format tools clean demo prove processes soak soak-many soak-short soak-without
.PHONY: bench bench-short bench-limits bench-control

build:
	go build -o $(BIN)/ ./cmd/...

test:
	go test ./...

# Runs the whole system as separate processes on loopback and shows the main job.
demo: build
	scripts/demo

# Measures the policies side by side; docs/BENCH.md explains the figures. bench takes up to 5 minutes, bench-short 50 s.
bench: build
	scripts/bench full

bench-short: build
	scripts/bench short

bench-limits: build
	scripts/bench limits

# Measures the control plane of live instances over loopback, in under 6 minutes.
bench-control: build
	$(BIN)/benchcontrol live

# Shows that each guarantee fails with its mechanism off and holds with it on; docs/PROOFS.md lists what is proved.
prove:
	scripts/prove

# Kills, pauses and outages with real processes; judged by the targets' journals.
processes: build
	scripts/processes

tools: $(LINT)

$(LINT):
	GOBIN=$(BIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

format: tools
	$(LINT) fmt ./...

lint: tools
	$(LINT) fmt --diff ./...
	$(LINT) run ./...

clean:
	rm -rf $(BIN)

# Shows that the soak finds a broken promise when a mechanism is off: one of the first ten seeds has to fail for each.
soak-without: build
	for m in version-fence target-check drain matching true-refusals; do \
		$(BIN)/soak -without $$m -seeds 10 -duration $(SOAK_TIME) || exit 1; done

# The fault soak: make soak SEED=7 plays one seed, make soak-many fifty, make soak-short what CI plays.
SEED ?= 1
SOAK_TIME ?= 15s

soak: build
	$(BIN)/soak -program $(BIN)/hickorynotch -seed $(SEED) -duration $(SOAK_TIME)

soak-many: build
	$(BIN)/soak -program $(BIN)/hickorynotch -seed $(SEED) -seeds 50 -duration $(SOAK_TIME)

soak-short: build
	$(BIN)/soak -program $(BIN)/hickorynotch -seed 1 -seeds 2 -duration 10s
