#!/bin/sh
# Builds the stand-ins of the review cases. Needs nothing but rustc; run it after the build of the deploy file.
set -e
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2021 -O -o bin/stand_ins stand_ins/main.rs
