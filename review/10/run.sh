#!/usr/bin/env bash
# A SET with a quoted name that is no name changes a setting of other users' sessions.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/stand-ins ] || { echo "build first: the build of deploy/balancer.toml, then review/build-2.sh" >&2; exit 2; }
TROUBLE="${TROUBLE:-1}" exec target/review-2/stand-ins case quoted-name review/10/record.txt
