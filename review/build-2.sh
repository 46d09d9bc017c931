#!/bin/sh
# Builds the stand-ins of the second review into target/review-2. Needs the toolchain of the deploy file alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand_ins_2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] || [ "$name" = forwarder ] && continue
    rustc --edition 2021 -O "$source" -o "target/review-2/$name"
done
