#!/usr/bin/env bash
# A grey server answers 429 or 408 to payments that it has run; TROUBLE=0: it serves them.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[[ -x target/bin/egretmount-node && -x target/review-2/case-7 ]] || exit 2
exec target/review-2/case-7 "$here/record.txt"
