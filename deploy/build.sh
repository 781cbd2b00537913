#!/usr/bin/env bash
# Builds what runs on the users' platform: the program, a Java runtime with just the modules that it
# needs, and an archive of its classes that makes it start faster. Everything lies under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
source build/java-home.sh

mvn -q -B -ntp -pl fescuehook package -Dmaven.test.skip=true
jar=target/fescuehook.jar
cp fescuehook/target/fescuehook-program.jar "$jar"

rm -rf target/runtime
"$JAVA_HOME/bin/jlink" --output target/runtime --strip-debug --no-header-files --no-man-pages \
  --generate-cds-archive \
  --add-modules java.base,java.desktop,java.logging,java.management,java.naming,java.sql,java.xml,jdk.unsupported
