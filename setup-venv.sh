# Sourced by test.sh and quickstart.sh: one virtual environment, made once.
# SAMPHIREDOCK_VENV names another place for it.
VENV=${SAMPHIREDOCK_VENV:-$PWD/.venv}
stamp=$VENV/.requirements
wanted=$(cat requirements.txt requirements-dev.txt | sha256sum)
if [ "$(cat "$stamp" 2>/dev/null)" != "$wanted" ]; then
    [ -x "$VENV/bin/python" ] || python3 -m venv "$VENV" || return 1
    "$VENV/bin/pip" install -q --disable-pip-version-check \
        -r requirements-dev.txt || return 1
    printf '%s\n' "$wanted" > "$stamp"
fi
