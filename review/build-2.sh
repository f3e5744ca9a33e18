#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/review-2. It needs Go and no network: the
# harness is a module without dependencies.
set -euo pipefail
cd "$(dirname "$0")/harness-2"
go build -o ../../target/review-2/harness .
