#!/usr/bin/env bash
# Builds the clients, engines and store that the scripts in review/6 to review/10 start; it needs
# rustc only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/release
rustc -O --edition 2021 -o target/release/review-2 review/6/stand-ins/main.rs
