#!/usr/bin/env bash
# All keys are taken away. Exits with 1 if a request without a key in force was run.
set -euo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
[ -x target/review/standin ] && [ -x target/release/damaskd-platform ] || exit 2
export TROUBLE=${TROUBLE:-1}
exec timeout -k 5 110 target/review/standin keys "$folder"
