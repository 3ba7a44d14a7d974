#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10: store, servers and clients in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/bin/review-stage ./review/stage
