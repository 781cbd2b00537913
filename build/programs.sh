# Sourced by the scripts that run built programs: builds them if a source is newer than they are.

programs_are_new() {
  [[ -x target/fescuehook && -x target/fescuehook-standins && -x target/fescuehook-bench ]] || return 1
  local oldest
  oldest=$(ls -t target/fescuehook target/fescuehook-standins target/fescuehook-bench | tail -n 1)
  [[ -z $(find pom.xml build */pom.xml */src/main -newer "$oldest" -print -quit) ]]
}

if ! programs_are_new; then
  source build/java-home.sh
  echo "building ..." 1>&2
  mvn -q -B -ntp package -Dmaven.test.skip=true 1>&2
fi
