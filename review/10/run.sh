#!/usr/bin/env bash
# Endpoints answer with 66,000 bytes in chunks. Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0:
# the same answers with a Content-Length. Needs the build of deploy/balancer.toml and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
[ -x "$here/../standin-2/bin/standin-2" ] || { echo "cannot run: review/build-2.sh was not run" >&2; exit 2; }
CASE_DIR=$here exec "$here/../standin-2/bin/standin-2" chunked
