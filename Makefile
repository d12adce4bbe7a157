.PHONY: build test lint run toy shop town fleet fleet-trial sites

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
	cargo run --quiet --locked -p hazelspur-test-doubles --example town

# Serves with examples/config.json; `make toy` in another terminal is everything it talks to.
run: build
	ROUTER_CONFIG=examples/config.json target/release/hazelspur-server

toy:
	cargo run --quiet --locked --example toy

# Twelve servers in three sites on this machine, with faults between them.
fleet:
	cargo build --release --locked -p hazelspur-server -p hazelspur-fault-harness
	target/release/hazelspur-fault-harness run

# The quick standing trial; needs the kit beside the checkout (docs/fleet-trial.md).
BENCH = ../given/kit/more/mass/bin/lbreal
WHY = The standing trial of this text
fleet-trial:
	@test -x $(BENCH) || { echo "fleet-trial: there is no kit beside this checkout ($(BENCH)); CI does not need it"; exit 2; }
	$(BENCH) score ../given/kit/sites/tukku-orders-fi.toml --quick --why "$(WHY)"

# What the bench wants beside the variants in deploy/sites, laid there from the kit; git ignores it.
KIT_SITES = ../given/kit/sites
BESIDE = real.json wire.json unlock.txt
sites:
	@test -d $(KIT_SITES) || { echo "sites: there is no kit beside this checkout ($(KIT_SITES)); CI does not need it"; exit 2; }
	cp $(addprefix $(KIT_SITES)/,$(BESIDE)) deploy/sites/
