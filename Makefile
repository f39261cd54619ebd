BIN := $(CURDIR)/bin

.PHONY: build demo test experiments

build:
	go build -o $(BIN)/ ./cmd/... ./standin/cmd/...

demo: build
	$(BIN)/demo --bin $(BIN) --config examples/fleet.jsonc

test:
	go test -race -count=1 ./... ./standin/...

experiments: build
	$(BIN)/experiment --out docs/experiments
