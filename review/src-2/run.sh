#!/usr/bin/env bash
# Plays one case of review/4 to review/8: run.sh NAME FOLDER.
# Exit code 0: the rule held, 1: it was broken, 2: the case could not run.
set -u
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
java=target/runtime/bin/java
if [[ ! -x $java || ! -f target/fescuehook.jar || ! -f target/review-2/Case.class ]]; then
  echo "not built: run deploy/build.sh and review/build-2.sh first" >&2
  exit 2
fi
timeout -s TERM -k 4 114 "$java" -Xmx128m -cp target/fescuehook.jar:target/review-2 Case "$1" "$folder/record.txt" &
play=$!
trap 'kill -TERM "$play"' TERM INT HUP
wait "$play"
case $? in
  10) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
