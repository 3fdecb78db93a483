#!/usr/bin/env bash
# Builds the stand-ins of the scripts in this folder, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/target/classes
javac -Xlint:all -d review/target/classes -cp "platform/target/lib/*" review/standin/*.java
