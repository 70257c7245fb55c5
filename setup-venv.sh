# Sourced by test.sh and quickstart.sh: one virtual environment, made once.
# SAMPHIREDOCK_VENV names another place for it, PYTHON another interpreter.
VENV=${SAMPHIREDOCK_VENV:-$PWD/.venv}
PYTHON=${PYTHON:-python3}
stamp=$VENV/.requirements
wanted=$(cat requirements.txt requirements-dev.txt | sha256sum)
if [ "$(cat "$stamp" 2>/dev/null)" != "$wanted" ]; then
    if [ ! -x "$VENV/bin/python" ]; then
        "$PYTHON" -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
            echo "$PYTHON: expected Python 3.11 or later" \
                "(PYTHON names another)" >&2
            return 1
        }
        "$PYTHON" -m venv "$VENV" || return 1
    fi
    echo "installing pinned packages to $VENV" >&2
    "$VENV/bin/python" -m pip install -q --disable-pip-version-check \
        -r requirements-dev.txt || return 1
    # Written last: an install that was cut off is done again.
    printf '%s\n' "$wanted" > "$stamp"
fi
