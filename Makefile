.PHONY: build test lint run soak show deployments fleet-soak members-sim chaos

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -timeout 120s $(if $(SKIP),-skip '$(SKIP)') ./...

lint:
	@unformatted=$$(gofmt -l .); [ -z "$$unformatted" ] || { echo "gofmt: $$unformatted"; exit 1; }
	go vet ./...
	go vet -tags chaos ./...
	go tool -modfile=tools/go.mod golangci-lint run ./...
	go tool -modfile=tools/go.mod golangci-lint run --build-tags chaos ./...

# Needs ROUTER_CONFIG; EDGE names the operator's file: make run EDGE=deploy/edge.example.jsonc
run: build
	bin/gaugerelay $(if $(EDGE),-edge $(EDGE))

# A demonstration: a minute of devices on poor links against a gateway whose servers fail, on loopback.
show: build
	bin/faultbench soak --seconds 60 --log

# The same for SECONDS, beside a run without deduplication; fails if an invariant is violated.
SECONDS ?= 600
SEED ?= 1
soak: build
	bin/faultbench soak --seconds $(SECONDS) --seed $(SEED) $(SOAK)

# Deployments drawn by seed, simulated in fake time, with the rules checked at the servers and the clients.
SEEDS ?= 200
FROM ?= 1
deployments:
	@mkdir -p bin
	@go test -count=1 -timeout 20m ./internal/testbed/simulation -run TestDeployments -seeds $(SEEDS) -from $(FROM) -line $(CURDIR)/bin/deployments.txt; \
	code=$$?; cat bin/deployments.txt; exit $$code

# Several processes of the real program, with faults between them and in them, checked at servers and clients.
N ?= 6
fleet-soak: build
	bin/faultbench fleet --gateways $(N) --seconds $(SECONDS) --seed $(SEED) $(FLEET)

# Membership of fleets of any size, on a simulated clock.
members-sim: build
	bin/faultbench members --seed $(SEED)

# Several processes of the real program under random overlapping faults; fakes of servers, clients and discovery check the
# invariants. The program is built with the tag chaos, so that some of its system calls fail.
PROCESSES ?= 24
chaos:
	mkdir -p bin/chaos && go build -o bin/ ./cmd/faultbench && go build -tags chaos -o bin/chaos/ ./cmd/gaugerelay
	bin/faultbench chaos --binary bin/chaos/gaugerelay --shims --processes $(PROCESSES) --seconds $(SECONDS) --seed $(SEED) $(CHAOS)
