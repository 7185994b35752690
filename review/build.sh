#!/usr/bin/env bash
# Builds the stand-ins of the review's cases: one program, of the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -D warnings -A dead_code -o target/review/rig review/rig/main.rs
