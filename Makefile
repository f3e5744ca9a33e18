# Two commands for a fresh machine: `make demo` and `make test`.

GO ?= go
TEST_FLAGS ?= -count=1 -timeout=8m
PROGRAMS := stepseamd stepseamctl stepseam-lab

.PHONY: build test unit lint format clean

build:
	@mkdir -p bin
	@for program in $(PROGRAMS); do $(GO) build -o bin/$$program ./cmd/$$program || exit 1; done

test: lint unit

unit:
	$(GO) test $(TEST_FLAGS) ./...

lint:
	@unformatted=$$($(GO) tool gofumpt -l .); if [ -n "$$unformatted" ]; then echo "gofumpt: not formatted:"; echo "$$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) tool revive -config revive.toml -set_exit_status ./...

format:
	$(GO) tool gofumpt -w .

clean:
	rm -rf bin
