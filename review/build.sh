#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target/classes
javac -encoding UTF-8 --release 17 -cp target/platform/lentilstream-platform.jar -d review/target/classes \
	review/standin/*.java review/further/*.java
