#!/usr/bin/env bash
# Builds what runs on the users' platform: the program, a Java runtime with just the modules that it
# needs, and an archive of its classes that makes it start faster. Everything lies under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
source build/java-home.sh

mvn -q -B -ntp -pl fescuehook package -Dmaven.test.skip=true
jar=target/fescuehook.jar
cp fescuehook/target/fescuehook-program.jar "$jar"

rm -rf target/runtime target/archive.jsa
"$JAVA_HOME/bin/jlink" --output target/runtime --strip-debug --no-header-files --no-man-pages \
  --generate-cds-archive \
  --add-modules java.base,java.desktop,java.logging,java.management,java.naming,java.sql,java.xml,jdk.unsupported

# The archive holds the classes that a short run on loopback has loaded. Its store is its own page of
# metrics, which answers "not found" like a store without topics. Without the archive the program runs
# as well and only starts more slowly, so a failed attempt is no fault of the build.
train() {
  local base=$((20000 + RANDOM % 10000)) settings=target/training.ini
  printf '%s\n' '[identity]' 'vm = training' 'failure-domain = training' '[addresses]' \
    "callers = 127.0.0.1:$base" "readiness = 127.0.0.1:$((base + 1))" "peers = 127.0.0.1:$((base + 2))" \
    "metrics = 127.0.0.1:$((base + 3))" "store = 127.0.0.1:$((base + 3))" >"$settings"
  # The options of deploy/system.toml, which an archive has to be made with.
  FESCUEHOOK_CONFIG=$settings target/runtime/bin/java -XX:ArchiveClassesAtExit=target/archive.jsa -Xlog:cds=off \
    -Xmx48m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Dio.netty.allocator.type=unpooled \
    -Dlogback.configurationFile=logback-scheduler.xml -cp "$jar" org.fescuehook.cli.Main scheduler \
    >target/training.log 2>&1 &
  local process=$! tries=0
  until ask "$base" 'POST /training/0123456789abcdef' && ask $((base + 3)) 'GET /metrics'; do
    tries=$((tries + 1))
    if ((tries > 100)) || ! kill -0 "$process" 2>/dev/null; then break; fi
    sleep 0.1
  done
  sleep 1
  kill "$process" 2>/dev/null || true
  wait "$process"
}

# Sends a request without a body and reads the first line of the answer.
ask() {
  local port=$1 request=$2 line
  { exec 3<>"/dev/tcp/127.0.0.1/$port"; } 2>/dev/null || return 1
  printf '%s HTTP/1.1\r\nHost: training\r\nContent-Length: 0\r\n\r\n' "$request" >&3
  read -r -t 2 line <&3 || line=""
  exec 3<&-
  [[ $line == HTTP/* ]]
}

for attempt in 1 2 3; do
  if train && [[ -s target/archive.jsa ]]; then break; fi
  echo "archive of classes: attempt $attempt failed, see target/training.log" >&2
done
