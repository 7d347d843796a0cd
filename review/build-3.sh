#!/bin/sh
# Builds the program of the cases of this review, with its stand-ins, from the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/case-3 review/stand-3/main.rs
