#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/4 and later, after deploy/build.sh and without a network.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
source build/java-home.sh
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -nowarn -cp target/fescuehook.jar -d target/review-2 review/src-2/*.java
