#!/bin/bash
# Compiles the stand-ins and scenarios of review/9 to review/13 into target/review-3. Needs a JDK 17 only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -nowarn -d target/review-3 review/standins-3/*.java
