#!/usr/bin/env bash
# Exit code 1: the rule was broken. 0: it held. 2: the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of deploy/balancer.toml and review/build.sh. Ends by itself; writes record.txt beside this file.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x bin/pepperlead ] || [ ! -x review/bin/standin ]; then
	echo "build first, as deploy/balancer.toml says, then review/build.sh" >&2
	exit 2
fi
timeout --kill-after=2 110 review/bin/standin unread "$here"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
