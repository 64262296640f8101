#!/usr/bin/env bash
# Plays a program of this folder: run.sh NAME [RECORD]. Ends as the cases do; TROUBLE=0
# leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
jar=target/platform/lentilstream-platform.jar
[ -e "$jar" ] || { echo "not built: see deploy/system.toml"; exit 2; }
[ -e "review/target/classes/$1.class" ] || { echo "usage: run.sh NAME [RECORD], after review/build.sh"; exit 2; }
exec java -Xmx1500m -cp "review/target/classes:$jar" "$1" "${2:-review/target/$1.txt}"
