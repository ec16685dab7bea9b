#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -Werror -d target/review-2 review/rig-2/rig/*.java
