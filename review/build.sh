#!/bin/sh
# Checks that the stand-ins load beside the libraries of the deploy file's
# build; they are Python, so there is nothing else to build.
root=$(CDPATH= cd -- "$(dirname -- "$0")/.." && pwd)
cd "$root" || exit 2
PYTHONPATH="$root/target/deps:$root" PYTHONDONTWRITEBYTECODE=1 \
  exec python3 -c "import review.standin.deployment, standins.platform.log"
