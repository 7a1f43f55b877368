#!/usr/bin/env bash
# Builds the stand-ins of the cases, without a network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --quiet --manifest-path review/standins/Cargo.toml --target-dir target/review
