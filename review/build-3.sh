#!/bin/sh
# Builds the stand-ins and cases of the third review. They use the standard library alone.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/lib3/Cargo.toml --target-dir target/review-3
