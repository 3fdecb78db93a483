#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -e review/standin-2/target/classes/review/CancelledBeforeAccepted.class ]; then
  echo "build the deploy file, then run review/build-2.sh" >&2
  exit 2
fi
exec java -Xmx512m -cp "review/standin-2/target/classes:platform/target/lib/*" \
  review.CancelledBeforeAccepted review/9
