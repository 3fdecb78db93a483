# Shared by the scripts of this folder: where things are built and how processes are run.
# shellcheck shell=bash

root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"

# Builds what the deployment needs unless it is built and newer than the sources.
build_if_needed() {
  local marker="$root/scenarios/target/lib"
  if [ -d "$marker" ] && [ -z "$(find "$root" -path '*/src/main/*' -newer "$marker" -print -quit)" ]; then
    return
  fi
  echo "building (the first time takes some minutes) ..." >&2
  (cd "$root" && mvn --batch-mode --quiet --no-transfer-progress package -DskipTests) || exit 1
  touch "$marker"
}

class_path() { # module
  echo "$root/$1/target/classes:$root/$1/target/lib/*"
}

# Runs a daemon or tool of a module: run_java <module> <maximum heap> <class> <arguments...>
run_java() {
  local module="$1" heap="$2" class="$3"
  shift 3
  exec java "-Xmx$heap" -Xss512k -XX:+UseSerialGC -XX:-UsePerfData \
    -cp "$(class_path "$module")" "$class" "$@"
}
