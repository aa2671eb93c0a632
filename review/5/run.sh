#!/usr/bin/env bash
# Runs the case. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
set -u
cd "$(dirname "$0")/../.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
target/review-standins crashing review/5/record.txt "$folder"
