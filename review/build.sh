#!/bin/sh
# Builds the stand-ins that the scripts start: packages/testing, compiled to target/ like all packages.
set -e
cd "$(dirname "$0")/.."
npx tsc --outDir target
