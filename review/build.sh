#!/bin/sh
# Builds the stand-ins of the review; they have no dependencies.
set -eu
cd "$(dirname "$0")/standins"
exec cargo build --release --offline --locked
