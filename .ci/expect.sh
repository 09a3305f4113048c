# Functions for the self-tests of the scripts in this folder, which source this file. It changes to an empty temporary
# folder and removes it when the self-test exits. A self-test sets `command` (an array), calls `expect` for each case,
# and ends with `all_passed`.
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder"
failures=0

# Runs the command and checks its exit status and that one line of its output contains a text.
expect() {  # CASE STATUS OUTPUT_PART
    local status=0
    "${command[@]}" >"$folder/output" 2>&1 || status=$?
    if [ "$status" -eq "$2" ] && grep -Fq -- "$3" "$folder/output"; then
        echo "ok: $1"
    else
        echo "FAILED: $1: status $status, expected $2 and a line with '$3'; output:"
        cat "$folder/output"
        failures=$((failures + 1))
    fi
}

# Writes a file from the given lines or from standard input, and creates its parent folders.
write() {  # PATH [LINE...]
    mkdir -p "$(dirname "$1")"
    if [ $# -gt 1 ]; then
        printf '%s\n' "${@:2}" >"$1"
    else
        cat >"$1"
    fi
}

all_passed() { [ "$failures" -eq 0 ]; }
