#!/bin/sh
# Builds the stand-ins that the scripts in review/4 and later start.
set -eu
cd "$(dirname "$0")/rig-2"
GOWORK=off go build -o ../../target/rig-2 .
