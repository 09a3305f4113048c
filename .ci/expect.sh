# For the self-tests of the scripts in this folder, which source it. It goes to an empty temporary folder, which is
# removed at the end of the self-test. A self-test sets `command` (an array), calls `expect` for each case, and ends
# with `all_as_expected`.
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder"
failures=0

# Runs the command and compares its exit status and one part of its output.
expect() {  # CASE STATUS OUTPUT_PART
    local status=0
    "${command[@]}" >"$folder/output" 2>&1 || status=$?
    if [ "$status" -eq "$2" ] && grep -Fq -- "$3" "$folder/output"; then
        echo "ok: $1"
    else
        echo "FAILED: $1: status $status, expected $2 and the line '$3'; output:"
        cat "$folder/output"
        failures=$((failures + 1))
    fi
}

# Writes a file, and the folders it is in, from standard input or from the lines given.
write() {  # PATH [LINE...]
    mkdir -p "$(dirname "$1")"
    if [ $# -gt 1 ]; then
        printf '%s\n' "${@:2}" >"$1"
    else
        cat >"$1"
    fi
}

all_as_expected() { [ "$failures" -eq 0 ]; }
