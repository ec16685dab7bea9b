#!/usr/bin/env bash
# Builds the stand-ins that the cases start; the project itself is built by the build of the deploy file (bin/package).
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/standin/*.java
