.PHONY: build test lint run toy

build:
	cargo build --release --locked

test:
	cargo test --workspace --tests --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# Serves with examples/config.json; `make toy` in another terminal is everything it talks to.
run: build
	ROUTER_CONFIG=examples/config.json target/release/hazelspur-server

toy:
	cargo run --quiet --locked --example toy
