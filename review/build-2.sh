#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 from the libraries that the project's own build has fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand_ins_2/Cargo.toml --target-dir target/review-2
