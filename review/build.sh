#!/usr/bin/env bash
# Builds the stand-ins and players of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
source build/java-home.sh
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -d target/review review/src/main/java/*.java
