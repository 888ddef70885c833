#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 3 117 java -Xmx512m -Dcase=review/8 -cp target/review-2 Trial8
status=$?
[ $status -le 1 ] && exit $status
exit 2
