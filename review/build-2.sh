#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/stand-2/*.rs; do
    name=$(basename "$case" .rs)
    [ "$name" = rig ] && continue
    rustc -O --edition 2024 "$case" -o "target/review-2/$name"
done
