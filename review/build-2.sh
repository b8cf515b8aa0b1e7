#!/usr/bin/env bash
# Builds what the scripts of the second review start, beside the product itself. Without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/second/Cargo.toml --target-dir target/review-2
