.PHONY: build test lint run soak show deployments fleet-soak members-sim chaos overload

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

# Runs all tests, and passes over those that KNOWN-RED.txt lists once they have been run and have failed. CI has run these itself and sets SKIP.
test:
	set -e; skip='$(SKIP)'; [ -n "$$skip" ] || skip=$$(.ci/known-red); go test -timeout 120s $${skip:+-skip "$$skip"} ./...

lint:
	@unformatted=$$(gofmt -l .); [ -z "$$unformatted" ] || { echo "gofmt: $$unformatted"; exit 1; }
	go vet ./...
	go vet -tags chaos ./...
	go vet -tags overload ./internal/testbed/...
	go tool -modfile=tools/go.mod golangci-lint run ./...
	go tool -modfile=tools/go.mod golangci-lint run --build-tags chaos,overload ./...

# Runs the gateway. ROUTER_CONFIG must be set. EDGE is the operator's file: make run EDGE=deploy/edge.example.jsonc
run: build
	bin/gaugerelay $(if $(EDGE),-edge $(EDGE))

# Demonstration: for a minute, simulated devices on poor links use a gateway whose servers fail, on loopback addresses.
show: build
	bin/faultbench soak --seconds 60 --log

# Soak test: the same for SECONDS, compared with a run without deduplication. Fails if an invariant is violated.
SECONDS ?= 600
SEED ?= 1
soak: build
	bin/faultbench soak --seconds $(SECONDS) --seed $(SEED) $(SOAK)

# Simulates SEEDS random deployments, from the seed FROM on, in simulated time. The fakes of servers and clients check the
# invariants.
SEEDS ?= 200
FROM ?= 1
deployments:
	@mkdir -p bin
	@go test -count=1 -timeout 20m ./internal/testbed/simulation -run TestDeployments -seeds $(SEEDS) -from $(FROM) -line $(CURDIR)/bin/deployments.txt; \
	code=$$?; cat bin/deployments.txt; exit $$code

# Runs N gateway processes under faults in the processes and on the network between them. The fakes of servers and clients
# check the invariants.
N ?= 6
fleet-soak: build
	bin/faultbench fleet --gateways $(N) --seconds $(SECONDS) --seed $(SEED) $(FLEET)

# Simulates membership in fleets of several sizes.
members-sim: build
	bin/faultbench members --seed $(SEED)

# Runs PROCESSES gateway processes under random overlapping faults. The fakes of servers, clients and discovery check the
# invariants. The gateway is built with the tag chaos, which makes some of its system calls fail.
PROCESSES ?= 24
chaos:
	mkdir -p bin/chaos && go build -o bin/ ./cmd/faultbench && go build -tags chaos -o bin/chaos/ ./cmd/gaugerelay
	bin/faultbench chaos --binary bin/chaos/gaugerelay --shims --processes $(PROCESSES) --seconds $(SECONDS) --seed $(SEED) $(CHAOS)

# Plays crowds, floods and stalls on one gateway process and checks its memory and its other clients. The tests have the tag overload, since the
# clients alone need several processors, so that they must not run beside other tests.
overload:
	go test -count=1 -timeout 300s -tags overload -run 'TestCrowds|TestFloods|TestHealthChecks|TestStalled' $(if $(SKIP),-skip '$(SKIP)') -v ./internal/testbed/chaos
