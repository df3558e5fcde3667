.PHONY: build test lint run soak show deployments fleet-soak members-sim chaos

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -timeout 120s $(if $(SKIP),-skip '$(SKIP)') ./...

lint:
	@unformatted=$$(gofmt -l .); [ -z "$$unformatted" ] || { echo "gofmt: $$unformatted"; exit 1; }
	go vet ./...
	go tool staticcheck ./...

# Wants ROUTER_CONFIG, and takes the operator's file in EDGE: make run EDGE=deploy/edge.example.jsonc
run: build
	bin/gaugerelay $(if $(EDGE),-edge $(EDGE))

# The program at work: a minute of devices on poor links before a gateway whose nodes fail, on loopback.
show: build
	bin/faultbench soak --seconds 60 --log

# The same for as long as wanted, beside a run without the exchange ledger; fails on a broken rule.
SECONDS ?= 600
SEED ?= 1
soak: build
	bin/faultbench soak --seconds $(SECONDS) --seed $(SEED) $(SOAK)

# Deployments drawn by seed, played in a bubble's time with the rules checked at the nodes and the clients.
SEEDS ?= 200
FROM ?= 1
deployments:
	@mkdir -p bin
	@go test -count=1 -timeout 20m ./internal/testbed/simulation -run TestDeployments -seeds $(SEEDS) -from $(FROM) -line $(CURDIR)/bin/deployments.txt; \
	code=$$?; cat bin/deployments.txt; exit $$code

# Several gateways, the real program, with faults between them and into them; counted at nodes and clients.
N ?= 6
fleet-soak: build
	bin/faultbench fleet --gateways $(N) --seconds $(SECONDS) --seed $(SEED) $(FLEET)

# Membership of fleets of any size, on a clock of its own.
members-sim: build
	bin/faultbench members --seed $(SEED)

# Several gateways, the real program, with random faults that overlap, judged at fakes of servers, clients and discovery by
# the rules that must always hold. The program is built with the tag chaos: its system calls fail now and then.
PROCESSES ?= 24
chaos:
	mkdir -p bin/chaos && go build -o bin/ ./cmd/faultbench && go build -tags chaos -o bin/chaos/ ./cmd/gaugerelay
	bin/faultbench chaos --binary bin/chaos/gaugerelay --shims --processes $(PROCESSES) --seconds $(SECONDS) --seed $(SEED) $(CHAOS)
