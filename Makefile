.PHONY: build test lint generate demo

GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod

build:
	$(GO) build ./...

test:
	$(GO) test ./...

demo:
	$(GO) run ./cmd/sequoia-standin demo

lint:
	@test -z "$$($(TOOL) gofumpt -l cmd internal platform)" || { $(TOOL) gofumpt -l cmd internal platform; exit 1; }
	$(GO) vet ./...
	$(TOOL) staticcheck ./...
	$(TOOL) revive -config revive.toml -set_exit_status ./...

format:
	$(TOOL) gofumpt -w cmd internal platform

# The generated code is committed; this needs protoc from protobuf-compiler.
generate:
	mkdir -p .bin
	GOBIN=$(CURDIR)/.bin $(GO) install -modfile=tools/go.mod google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	PATH=$(CURDIR)/.bin:$$PATH protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative internal/wire/*/*.proto
