# Sourced by the scripts: makes the virtual environment from the lock file.
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
# A fixed hash seed and the working tree first, so that runs are repeatable.
export PYTHONPATH="$root" PYTHONHASHSEED=0
