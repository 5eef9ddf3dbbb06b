#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. review/build-3.sh builds what it starts, besides the build of the deploy file.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/release/review-3 ] && [ -x target/release/dragonflyrund ] || exit 2
exec target/review-3/release/review-3 repeated-starts review/10
