#!/usr/bin/env bash
# An upgrade while discovery is down. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 leaves the outage out. Needs the build of deploy/balancer.toml and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
[ -x "$here/../standin-2/bin/standin-2" ] || { echo "cannot run: review/build-2.sh was not run" >&2; exit 2; }
CASE_DIR=$here exec "$here/../standin-2/bin/standin-2" upgrade
