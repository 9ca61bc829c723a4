#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 and up start.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml \
    --target-dir target/review-2
