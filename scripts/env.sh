# Sourced by the scripts: creates the virtual environment from the lock file,
# and again when that file has changed.
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
cd "$root"
stamp="$(sha256sum requirements.lock | cut -d' ' -f1)"
if [ "$(cat .venv/stamp 2>/dev/null)" != "$stamp" ]; then
  rm -rf .venv
  "${PYTHON:-python3}" -m venv .venv
  .venv/bin/pip install -qq --disable-pip-version-check \
    --require-hashes -r requirements.lock
  .venv/bin/pip install -qq --disable-pip-version-check \
    --no-deps --no-build-isolation -e .
  echo "$stamp" > .venv/stamp
fi
# The working tree takes precedence over installed packages, and a fixed hash
# seed makes runs repeatable.
export PYTHONPATH="$root" PYTHONHASHSEED=0
