#!/bin/sh
# Starts the jar that follows this script in the same file.
required=25

version_of() {
  [ -x "$1" ] || return 1
  "$1" -XX:-UsePerfData -version 2>&1 | sed -n 's/^[^"]*version "\([0-9][0-9]*\).*/\1/p;' | head -n 1
}

suits() {
  version=$(version_of "$1") || return 1
  [ -n "$version" ] && [ "$version" -ge "$required" ]
}

find_java() {
  for java in "${JAVA_HOME:-/nonexistent}/bin/java" "$(command -v java)" \
      /usr/lib/jvm/*"$required"*/bin/java /usr/java/*"$required"*/bin/java /opt/*jdk*"$required"*/bin/java; do
    suits "$java" && return 0
  done
  return 1
}

if ! find_java; then
  echo "$(basename "$0"): needs Java $required or newer: set JAVA_HOME or put java on the PATH" >&2
  exit 69
fi
# The options are split into words on purpose.
exec "$java" -XX:-UsePerfData ${FESCUEHOOK_JAVA_OPTIONS--Xmx256m} -jar "$0" "$@"
