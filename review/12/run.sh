#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/dewwing.jar ] || { echo "target/dewwing.jar is missing"; exit 2; }
[ -f target/review-3/complete ] || bash review/build-3.sh || exit 2
timeout 118 java -Xmx1g -cp target/review-3 Scenario12
case $? in
    10) exit 1 ;;
    0) exit 0 ;;
    *) exit 2 ;;
esac
