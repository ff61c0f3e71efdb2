#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It needs no network: they use
# the standard library only. The project itself is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../../target/review-standin .
