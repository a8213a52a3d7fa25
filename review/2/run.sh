#!/usr/bin/env bash
# Exits with 1 if orders of two gateways reached an engine within its lease, or a lower fence came after a
# higher one, with 0 if not, with 2 if the case couldn't run.
cd "$(dirname "${BASH_SOURCE[0]}")"
root="$(cd ../.. && pwd)"
exec java -Xmx256m -Droot="$root" -cp "$root/target/review" TwoHolders "$PWD"
