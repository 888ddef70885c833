#!/bin/bash
# Builds the stand-ins and the cases into target/review. Needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -Xlint:-options --release 17 -d target/review review/standins/*.java review/*/Case*.java
