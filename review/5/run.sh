#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
case_folder=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd)
root=$(CDPATH= cd -- "$case_folder/../.." && pwd)
cd "$root" || exit 2
PYTHONPATH="$root/target/deps:$root" PYTHONDONTWRITEBYTECODE=1 \
  exec python3 "$case_folder/case.py"
