#!/bin/sh
# Plays a rolling restart of balancers during quick changes of the configuration. Exit status: 1 if CONFIG was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the restarts out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/kumquatworks ] && [ -x target/review/rollingrestart ] || exit 2
exec target/review/rollingrestart -binary target/kumquatworks -record "$here/record.txt" -trouble "${TROUBLE:-1}"
