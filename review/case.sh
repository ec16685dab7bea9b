#!/usr/bin/env bash
# Runs one case: review/case.sh FOLDER CLASS. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
# The stand-ins and the clients run in one process, which starts the processes of the project with the command of deploy/system.toml and
# ends them. record.txt is written to the folder of the case.
set -uo pipefail
folder=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
if [ ! -f "$root/target/geraniumstand.jar" ] || [ ! -f "$root/target/review/$2.class" ]; then
    echo "build first: bash bin/package && bash review/build.sh"
    exit 2
fi
rm -f "$folder/record.txt"
timeout -k 2 117 java -Xmx512m "-Droot=$root" "-Drecord=$folder/record.txt" -cp "$root/target/review" "$2"
code=$?
# Anything but 0 and 1 means that the case could not run, also when the time is over.
[ "$code" -le 1 ] || code=2
[ "$code" -ne 1 ] || grep -q 'the rule was broken' "$folder/record.txt" || code=2
exit "$code"
