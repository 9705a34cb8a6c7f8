#!/usr/bin/env bash
# Builds the stand-ins and the cases that are scripts. They use nothing but the standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/standins/*.rs; do
    name=$(basename "$case" .rs)
    [ "$name" = rig ] && continue
    rustc --edition 2024 -O -o "target/review/$name" "$case"
done
