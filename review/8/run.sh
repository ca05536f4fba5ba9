#!/usr/bin/env bash
# A user variable of a session in NO_BACKSLASH_ESCAPES changes its value when its engine is drained.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/stand-ins ] || { echo "build first: the build of deploy/balancer.toml, then review/build-2.sh" >&2; exit 2; }
TROUBLE="${TROUBLE:-1}" exec target/review-2/stand-ins case variables review/8/record.txt
