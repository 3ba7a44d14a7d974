# Thin names for the commands of the README and of docs/MEASUREMENTS.md.

SEEDS ?= 1

.PHONY: build demo test abuse lint measure prove capacity ci

build:
	go build -o bin/ ./cmd/...

demo:
	go run ./cmd/apricotctl demo

test:
	go test work

# Starts processes and measures their memory, so nothing else may run beside it.
abuse:
	cd proof && go test ./abuse -abuse -p 1 -timeout 15m

# Renames run with gopls v0.23.0 (golang.org/x/tools/gopls, the newest that Go 1.26
# builds), installed outside the workspace so that no module's versions move.
lint:
	go vet work
	go build -o out/staticcheck honnef.co/go/tools/cmd/staticcheck
	out/staticcheck -checks 'all,-ST1003' ./...
	cd proof && ../out/staticcheck -checks 'all,-ST1003' ./...

measure:
	cd proof && go test ./measure -run TestMeasure -measure -seeds $(SEEDS) -timeout 60m
	@cat out/measure.json
	cd proof && go test ./shift -run TestShift -shift -v -timeout 20m

prove:
	cd proof && go test ./prove -run TestProve -prove -seeds $(SEEDS) -timeout 240m
	@cat out/prove.json

capacity:
	cd proof && go test ./capacity -run TestCapacity -capacity -timeout 30m
	@cat out/capacity.json

ci:
	bash .ci/run
