# Sourced: sets and exports JAVA_HOME to a JDK that can run Maven with the formatter.
required_java=25

java_version() {
  "$1/bin/javac" -version 2>&1 | sed -n 's/^javac \([0-9][0-9]*\).*/\1/p'
}

jdk_suits() {
  [[ -x "$1/bin/javac" ]] || return 1
  local version
  version=$(java_version "$1")
  [[ -n "$version" ]] && ((version >= required_java))
}

find_java_home() {
  local candidate on_path
  on_path=$(command -v java || true)
  [[ -n "$on_path" ]] && on_path=$(dirname "$(dirname "$(readlink -f "$on_path")")")
  for candidate in "${JAVA_HOME:-}" "$on_path" \
    /usr/lib/jvm/*"$required_java"* /usr/java/*"$required_java"* /opt/*jdk*"$required_java"*; do
    if [[ -n "$candidate" ]] && jdk_suits "$candidate"; then
      echo "$candidate"
      return 0
    fi
  done
  return 1
}

if ! JAVA_HOME=$(find_java_home); then
  echo "needs a JDK of version $required_java or newer: set JAVA_HOME or put its java on the PATH" >&2
  exit 69
fi
export JAVA_HOME
# Keeps Maven's own libraries from filling the output with warnings of the newer Java.
export MAVEN_OPTS="${MAVEN_OPTS:-} -XX:-UsePerfData --enable-native-access=ALL-UNNAMED --sun-misc-unsafe-memory-access=allow"
