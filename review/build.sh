#!/usr/bin/env bash
# Builds the stand-ins of the scripts: one program that uses the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O review/harness/main.rs -o target/review/harness
