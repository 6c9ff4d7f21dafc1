#!/bin/sh
# Builds what the scripts in review/4 and later start besides the program itself: the project's stand-ins
# (packages/testing), which are compiled together with the program, and nothing else.
set -e
cd "$(dirname "$0")/.."
npx tsc --outDir target
test -f target/testing/loopback/sizing/cluster.js
