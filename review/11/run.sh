#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no caller leaves before its
# deadline.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[[ -x target/bin/egretmount-node && -x build-review-3/order_race ]] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 build-review-3/order_race "$folder" "$here/record.txt" "${TROUBLE:-1}"
status=$?
((status == 0 || status == 1)) || status=2
exit $status
