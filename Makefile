# The commands of this project. CI runs .ci/run, which calls `make test`.
SHELL := /bin/bash
GO ?= go
TOOLS := $(CURDIR)/bin/tools

.PHONY: build run demo test race race-packages race-stories lint generate docs replay bench bench-control fuzz clean

build:
	$(GO) build -o bin/ ./cmd/...

# The embedded default: one process with both roles, and a stand-in target.
run: build
	./bin/madderlab try

demo: build
	./bin/madderlab demo --program bin/madderpond

# Nothing from a cache: the stories build the programs themselves, which go test
# doesn't know of.
test: build
	$(GO) test -count=1 ./...

race: race-packages race-stories

# Simulations on one goroutine, in which there is nothing for the race detector to find.
SIMULATIONS := ^TestABoxThatGetsMostConnectionsServesItsCalls$$

# KNOWN_RED is an expression for the tests to pass over; by default there are none.
race-packages:
	$(GO) test -race -skip "$${KNOWN_RED:-^$$}|$(SIMULATIONS)" ./pkg/...

race-stories:
	$(GO) test -count=1 ./test -race-programs -run 'EveryCaller|CutShort|LimitHolds|HangsUp|LostDisk'

$(TOOLS)/staticcheck:
	GOBIN=$(TOOLS) $(GO) install honnef.co/go/tools/cmd/staticcheck@v0.8.2

$(TOOLS)/protoc-gen-go:
	GOBIN=$(TOOLS) $(GO) install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12

lint: $(TOOLS)/staticcheck
	test -z "$$(gofmt -l cmd pkg platform test)"
	$(GO) vet ./...
	$(TOOLS)/staticcheck ./...

# Generated code is committed; only a change of its source needs protoc.
generate: $(TOOLS)/protoc-gen-go
	PATH="$(TOOLS):$$PATH" $(GO) generate ./...

docs: build
	./bin/madderpond --print-settings-page > docs/SETTINGS.md

clean:
	rm -rf bin data

# Replays the traces with every way of routing and writes the page of figures.
replay: build
	./bin/madderlab replay --report docs/REPLAY-FIGURES.md --plot docs/replay.svg

# Measures what a box adds to a call and what decisions cost, in one run each.
bench: build
	./bin/madderlab speed --report docs/SPEED.md
	$(GO) test ./pkg/core/... -run '^$$' -bench . -benchtime 200ms

# Measures the control state with real replicas.
bench-control: build
	./bin/madderlab control --report docs/CONTROL-FIGURES.md

# Fuzzes what reads input from outside, half a minute each.
fuzz:
	$(GO) test ./pkg/sheet -run '^$$' -fuzz FuzzReadRows -fuzztime 30s
	$(GO) test ./pkg/config -run '^$$' -fuzz FuzzParse -fuzztime 30s
	$(GO) test ./pkg/transport -run '^$$' -fuzz FuzzReadEnvelope -fuzztime 30s
