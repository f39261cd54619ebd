BIN := $(CURDIR)/bin

.PHONY: build demo test experiments

build:
	go build -o $(BIN)/ ./cmd/... ./standin/cmd/...

demo: build
	$(BIN)/demo --bin $(BIN) --config examples/fleet.jsonc

# Crowds gather apart from other load. All commands run, also after one has failed.
test:
	@code=0; set -x; \
	go test -count=1 -timeout 30m ./standin/crowd || code=1; \
	go test -count=1 -run TestDeparturesAreKnown ./internal/gateway || code=1; `# all plays, too many gateways for the race detector` \
	go test -race -count=1 -timeout 60m $$(go list ./... ./standin/... | grep -v /standin/crowd$$) || code=1; \
	exit $$code

experiments: build
	$(BIN)/experiment --out docs/experiments
