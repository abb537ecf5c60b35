# quetzalhaven: the commands of a developer. Everything needs Go, git and make only.

GOLANGCI := v2.15.0
GOPLS := v0.23.0
MODULES := ./... ./qhnode/... ./qhctl/... ./qhstand/...
DIRS := . qhnode qhctl qhstand
DEPLOYMENT ?= ingoma
VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo unknown)
LDFLAGS := -X main.version=$(VERSION)

.PHONY: build demo fleet test check lint fmt gopls measure clean

# Builds the programs into bin/.
build:
	go build -ldflags "$(LDFLAGS)" -o bin/ ./qhnode ./qhctl ./qhstand

# Runs one deployment of the examples on this machine, end to end.
demo: build
	go build -o bin/demo ./examples/demo
	bin/demo --bin bin --deployment $(DEPLOYMENT)

# Starts the fleet of a deployment and keeps it for a first session.
fleet: build
	go build -o bin/demo ./examples/demo
	bin/demo --bin bin --deployment $(DEPLOYMENT) --hold

# Runs all tests with the race detector. Only entries of KNOWN-RED.txt may fail.
test:
	go run ./qhverdict $(MODULES)

# Prints convergence time, control bytes, processor time and memory by fleet size.
measure: build
	go build -o bin/measure ./examples/measure
	bin/measure --bin bin

# Runs the formatter and the linters without changing anything.
check: lint
	go vet $(MODULES)

lint: bin/golangci-lint-$(GOLANGCI)
	@for dir in $(DIRS); do (cd $$dir && $(CURDIR)/bin/golangci-lint fmt --diff ./... && $(CURDIR)/bin/golangci-lint run ./...) || exit 1; done

fmt: bin/golangci-lint-$(GOLANGCI)
	@for dir in $(DIRS); do (cd $$dir && $(CURDIR)/bin/golangci-lint fmt ./...) || exit 1; done

bin/golangci-lint-$(GOLANGCI):
	GOWORK=off GOBIN=$(CURDIR)/bin go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI)
	touch $@

# Installs the tool that renames identifiers across the workspace:
# bin/gopls-$(GOPLS) rename -w FILE:LINE:COL NewName
gopls: bin/gopls-$(GOPLS)

bin/gopls-$(GOPLS):
	GOWORK=off GOBIN=$(CURDIR)/bin go install golang.org/x/tools/gopls@$(GOPLS)
	mv bin/gopls $@

clean:
	rm -rf bin
