# build, test, lint and run
.PHONY: build test lint check run

build:
	cargo build --release --locked

test: build
	cargo test --locked --workspace

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

# The whole verdict, as CI asks for it.
check: lint test

# PROXY_CONFIG names the configuration.
run: build
	target/release/hitchwinch

.PHONY: toys try

# Two toy engines, and a dispatcher before them.
toys:
	cargo run --locked --example toy

try: build
	target/release/hitchwinch --mysql examples/toy/toy.toml
