#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start, with the JDK alone.
set -e
cd "$(dirname "$0")/standin-3"
rm -rf target/classes
mkdir -p target/classes
javac --release 17 -Xlint:all -d target/classes src/review3/*.java
