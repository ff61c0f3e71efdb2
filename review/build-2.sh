#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start beside the deploy file's programs.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off go build -o ../../target/review-standin-2 .
