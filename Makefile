.PHONY: build test lint run toy shop town

build:
	cargo build --release --locked

test:
	cargo test --workspace --tests --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# Serves queues beside gateways; `make town` in another terminal is the broker and all else, with an order a second.
shop: build
	ROUTER_CONFIG=examples/config.json target/release/hazelspur-server --file examples/queues.star

town:
	cargo run --quiet --locked -p hazelspur-standins --example town

# Serves with examples/config.json; `make toy` in another terminal is everything it talks to.
run: build
	ROUTER_CONFIG=examples/config.json target/release/hazelspur-server

toy:
	cargo run --quiet --locked --example toy
