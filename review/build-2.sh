#!/usr/bin/env bash
# Builds the stand-ins and the tests of the cases 4 to 8 into target/review-2. Needs the JDK only; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/*.java review/[4-8]/Trial*.java
