#!/usr/bin/env bash
# Builds the stand-ins of the cases 9 to 13 into target/review-3; needs the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
source build/java-home.sh
rm -rf target/review-3
mkdir -p target/review-3
"$JAVA_HOME/bin/javac" -Xlint:all -d target/review-3 review/src-3/*.java
