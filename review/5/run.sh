#!/usr/bin/env bash
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec bash "$(dirname "$0")/../case.sh" "$(dirname "$0")" Resume
