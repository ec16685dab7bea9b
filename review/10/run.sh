#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 plays it without the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
[ -f target/geraniumstand.jar ] && [ -d target/review-2 ] || exit 2
# Folder, requests a second.
exec java -Xmx256m -cp target/review-2 rig.Cold review/10 120
