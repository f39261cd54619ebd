BIN := $(CURDIR)/bin

.PHONY: demo test build lint

build:
	go build -o $(BIN)/ ./cmd/... ./standin/cmd/...

demo: build
	$(BIN)/demo --bin $(BIN) --config examples/fleet.jsonc

test:
	go test -race ./... ./standin/...
