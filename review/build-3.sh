#!/usr/bin/env bash
# Builds the stand-ins of the third review, after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/bin/review-yard ./review/yard
