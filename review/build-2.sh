#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10. They use the standard library only, so that this
# needs no network. The servers come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
cargo build --release --locked --offline --target-dir target
