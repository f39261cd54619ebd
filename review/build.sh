#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/rig"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-rig .
