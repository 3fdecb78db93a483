#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.."
TROUBLE="${TROUBLE:-1}"
[ -d review/target/classes ] || exit 2
timeout 110 java -Xmx128m -cp "review/target/classes:platform/target/lib/*" \
  Cases wide-submission review/2/record.txt "$TROUBLE"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
