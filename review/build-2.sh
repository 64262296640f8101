#!/bin/sh
# Builds the stand-ins of the second review with the JDK alone, into target/review-2.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 --release 17 -d target/review-2 review/standins-2/review2/*.java
