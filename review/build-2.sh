#!/bin/sh
# Builds the stand-ins of the second review's scripts into target/. It needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off GOTOOLCHAIN=local go build -C review/standins-2 -o "$PWD/target/review-standins-2" .
