#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases. They use only the standard library, so this needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/tools/Cargo.toml \
    --target-dir target/review
