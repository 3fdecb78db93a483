#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}"
classes=review/standin-2/target/classes
if [ ! -e "$classes/review/EndsBeyondOneListing.class" ] || [ ! -d platform/target/lib ]; then
  echo "build the deploy file, then run review/build-2.sh" >&2
  exit 2
fi
exec java -Xmx512m -cp "$classes:platform/target/lib/*" \
  review.EndsBeyondOneListing review/7 "$TROUBLE"
