#!/usr/bin/env bash
# Builds the stand-ins of the cases: one file each, with the standard library alone.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for name in engine client; do
    rustc --edition 2021 -O -o "bin/$name" "stand-ins/$name.rs"
done
