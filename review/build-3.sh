#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -nowarn -d target/review-3 review/standins-3/review3/*.java
