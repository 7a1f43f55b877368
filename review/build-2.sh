#!/bin/sh
# Builds the stand-ins of the cases 6 to 8; needs no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --quiet \
    --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
