GO ?= go
LINT = $(GO) run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.12.2
STRINGER = $(GO) run golang.org/x/tools/cmd/stringer@v0.52.0

# BENCH is the users' bench, SITE one of their site files, WHY a line for the
# journal and DAYS how many days are hunted.
BENCH ?= fleetbench
SITE ?=
WHY ?= run by hand
DAYS ?= 40

# SITES is the folder of the site files that REGRESSION lists.
SITES ?=
REGRESSION ?= deploy/regression.txt

# SEEDS are the seeds of the soak, from the first to the last, and TIME how long
# each is played.
SEEDS ?= 1-50
TIME ?= 20s

.PHONY: all build run test check red lint fmt generate bench slopes clean platform calm score regression hunt soak

all: build

build:
	$(GO) build -o bin/ ./cmd/...

run: build
	bin/lacewingramp try

test: lint check

# The soak runs after all other tests: its crowds are to run beside nothing else.
check: build
	$(GO) test $$($(GO) list ./... | grep -v /platform/soak)
	$(GO) test ./platform/soak

red:
	LACEWINGRAMP_RED=1 $(GO) test ./internal/limit/quota ./e2e ./internal/operator/trial ./internal/proof/emulator ./platform/soak -ginkgo.focus "an instance is away|opened slowly|refuses nothing|runs or rate-limits|region.s cap|with hot objects|is seldom refused"

lint:
	$(LINT) run ./...

fmt:
	$(LINT) fmt ./...

generate:
	$(GO) generate ./...

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

slopes:
	$(GO) run ./cmd/slopes

platform:
	$(GO) build -ldflags=-linkmode=external -o target/ ./cmd/...

calm:
	$(BENCH) run $(SITE) quiet-1 --why "$(WHY)"

score:
	$(BENCH) score $(SITE) --why "$(WHY)"

regression:
	grep -v '^#' $(REGRESSION) | while read -r site options; do \
		$(BENCH) score "$(SITES)/$$site" $$options --why "$(WHY)" </dev/null || exit 1; \
	done

hunt:
	$(BENCH) hunt $(SITE) --days $(DAYS) --why "$(WHY)"

soak:
	LACEWINGRAMP_SOAK_SEEDS=$(SEEDS) LACEWINGRAMP_SOAK_TIME=$(TIME) $(GO) test -v -timeout 3h -count=1 ./platform/soak -ginkgo.v

clean:
	rm -rf bin target
