# build, test, lint and run
.PHONY: build test lint module check run

build:
	cargo build --release --locked

test: build
	cargo test --locked --workspace

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

# The decision module stays small enough to be read in one sitting: lines that are not blank, columns.
module:
	@awk 'NF {n++} length($$0) > 110 {wide++; print FILENAME ":" FNR ": wider than 110 columns"} \
	  END {print FILENAME ": " n " non-blank lines (1070 at most)"; exit n > 1070 || wide}' src/controller.rs

# The whole verdict, as CI asks for it: tests run the programs of the dev profile, so that nothing is built twice. What
# moves gigabytes through the spool runs beside the rest, which mostly waits.
LONG = spool
SHORT = $(filter-out $(LONG),$(basename $(notdir $(wildcard tests/*.rs crates/*/tests/*.rs))))
check: module lint
	cargo test --locked --workspace --no-run
	$(MAKE) --no-print-directory --output-sync=target -j2 check-long check-short

.PHONY: check-long check-short
check-long:
	cargo test --locked --workspace $(LONG:%=--test %)

check-short:
	cargo test --locked --workspace --doc
	cargo test --locked --workspace --lib --bins --examples $(SHORT:%=--test %)

# PROXY_CONFIG names the configuration.
run: build
	target/release/hitchwinch

.PHONY: toys try

# Two toy engines, and a dispatcher before them.
toys:
	cargo run --locked --example toy

try: build
	target/release/hitchwinch --mysql examples/toy/toy.toml

.PHONY: sites

# Lays what the bench wants beside the variants in deploy/sites: names on the sockets and what is unlocked, from the
# operators' kit. None of it is committed.
KIT_SITES ?= ../given/kit/sites
sites:
	cp -f $(KIT_SITES)/real.json $(KIT_SITES)/wire.json $(KIT_SITES)/unlock.txt deploy/sites/
