#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. Needs JDK 17.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/standin-2/target
mkdir -p review/standin-2/target/classes
javac -nowarn -d review/standin-2/target/classes -cp "platform/target/lib/*" \
  review/standin-2/src/review/*.java
