#!/usr/bin/env bash
# Two long prompts hang at grey engines; TROUBLE=0: none does.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[[ -x target/bin/egretmount-node && -x target/review-2/case-6 ]] || exit 2
exec target/review-2/case-6 "$here/record.txt"
