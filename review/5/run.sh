#!/usr/bin/env bash
# Plays this case once, in 120 s at most: 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -e target/platform/lentilstream-platform.jar ] || { echo "not built: see deploy/system.toml"; exit 2; }
[ -e review/target/classes/LongTasks.class ] || { echo "not built: see review/build.sh"; exit 2; }
exec java -Xmx512m -cp review/target/classes LongTasks "review/5/record.txt"
