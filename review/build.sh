#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/bin/review-runner ./review/runner
