#!/usr/bin/env bash
# Builds the stand-ins of the review into target/. It needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off GOTOOLCHAIN=local go build -C review/standins -o "$PWD/target/review-standins" .
