.PHONY: build test lint run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -timeout 120s ./...

lint:
	@unformatted=$$(gofmt -l .); [ -z "$$unformatted" ] || { echo "gofmt: $$unformatted"; exit 1; }
	go vet ./...

# Wants ROUTER_CONFIG, and takes the operator's file in EDGE: make run EDGE=deploy/edge.example.jsonc
run: build
	bin/gaugerelay $(if $(EDGE),-edge $(EDGE))
