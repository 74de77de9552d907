#!/bin/sh
# Builds the stand-ins and cases of the third review, with the compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/stand_ins review/stand_ins_3/main.rs
