# Functions that start and stop a deployment of local processes on loopback. Sourced by the other scripts.
# shellcheck shell=bash

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=${TEASELTALLY_BUILD:-$root/build}

# wait_for SECONDS COMMAND...: runs the command until it succeeds; fails after SECONDS.
wait_for() {
    local tries=$(($1 * 20))
    shift
    while ((tries-- > 0)); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.05
    done
    echo "timed out waiting for: $*" >&2
    return 1
}

# http METHOD IP:PORT PATH [BODY]: prints the body of the response.
http() {
    local host=${2%:*} port=${2##*:} body=${4:-} line
    exec 9<>"/dev/tcp/$host/$port" || return 1
    printf '%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
        "$1" "$3" "${#body}" "$body" >&9
    while IFS= read -r line <&9; do [[ $line == $'\r' ]] && break; done
    cat <&9
    exec 9>&-
}

# start_process NAME COMMAND...: starts a process and writes its id to $work/pids/NAME.
start_process() {
    local name=$1
    shift
    "$@" >"$work/out/$name" 2>&1 &
    echo $! >"$work/pids/$name"
    disown
}

# process_id NAME: prints the id of a process.
process_id() { cat "$work/pids/$1"; }

# stop_processes: kills every process that start_process started, including paused ones.
stop_processes() {
    local file pid
    for file in "$work"/pids/*; do
        [[ -e $file ]] || continue
        pid=$(cat "$file")
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    rm -f "$work"/pids/*
}

# target_names FOLDER: prints the names of the targets in the configuration files of a folder.
target_names() { sed -n 's/^\[target\.\(.*\)\]$/\1/p' "$1"/*.ini; }

# target_setting FILE TARGET KEY: prints the value of a key in the section of a target.
target_setting() {
    awk -F' = ' -v section="[target.$2]" -v key="$3" \
        '$0 == section {inside = 1; next} /^\[/ {inside = 0} inside && $1 == key {print $2}' "$1"
}

# start_target NAME FILE PORT [FLAG...]: starts a stand-in with the settings that FILE holds for the target; PORT 0 lets the system choose.
start_target() {
    local name=$1 file=$2 port=${3:-0}
    shift 3
    rm -f "$work/ports/$name"
    start_process "$name" "$bin/standins/standin_target" --name="$name" --port="$port" --port_file="$work/ports/$name" \
        --history="$work/history/$name" --slots="$(target_setting "$file" "$name" slots)" \
        --checks="$(target_setting "$file" "$name" checks_grants)" --service_us="${service_us:-2000}" "$@"
}

# start_instance NAME DATA_CENTRE: starts an entry instance; the system chooses its ports.
start_instance() {
    local name=$1
    cat >"$work/$name.ini" <<INI
[instance]
name = $name
data_centre = $2
platform = $platform
peers = $(peer_list "$2")
log_file = $work/logs/$name
log_level = ${log_level:-info}
INI
    rm -f "$work/logs/$name"
    start_process "$name" "$bin/daemons/teaseltallyd" --config="$work/$name.ini"
    wait_for 20 grep -q event=started "$work/out/$name"
    local line
    line=$(grep event=started "$work/out/$name" | head -n 1)
    for port_kind in caller peer operator; do
        sed "s/.*${port_kind}_port=\([0-9]*\).*/127.0.0.1:\1/" <<<"$line" >"$work/ports/$name.$port_kind"
    done
    echo "$2" >"$work/ports/$name.dc"
    http PUT "$platform" "/instances/$name" \
        "{\"name\":\"$name\",\"address\":\"$(cat "$work/ports/$name.peer")\",\"leaving\":false}" >/dev/null
}

# peer_list DATA_CENTRE: prints the peer addresses of the instances of a data centre, separated by commas.
peer_list() {
    local dc_file peers=()
    for dc_file in "$work"/ports/*.dc; do
        [[ -e $dc_file && $(cat "$dc_file") == "$1" ]] && peers+=("$(cat "${dc_file%.dc}.peer")")
    done
    (IFS=, && echo "${peers[*]}")
}

# ready INSTANCE: succeeds if the instance reports that it is ready.
ready() { [[ $(http GET "$(cat "$work/ports/$1.operator")" /readyz) == ready* ]]; }

# all_leases_held: succeeds if the instances together hold a lease for each target.
all_leases_held() {
    local file leases=0 expected
    expected=$(target_names "$work/config" | wc -l)
    for file in "$work"/ports/*.operator; do
        leases=$((leases + $(http GET "$(cat "$file")" /status | grep -o '"lease":' | wc -l)))
    done
    ((leases >= expected))
}

# all_slots_owned: succeeds if the owned slots in the status on standard input reach the configured number.
all_slots_owned() {
    local owned expected
    owned=$(grep -o '"slots_owned":[0-9]*' | awk -F: '{sum += $2} END {print sum + 0}')
    expected=$(awk -F' = ' '$1 == "slots" {sum += $2} END {print sum + 0}' "$work/config/base.ini")
    ((owned >= expected))
}

# all_targets_served INSTANCE: succeeds if every target has a lease and the status of the instance shows every slot
# owned and none unreleased.
all_targets_served() {
    local status
    status=$(http GET "$(cat "$work/ports/$1.operator")" /status) || return 1
    [[ $status == *'"unreleased_slots":0'* ]] || return 1
    all_leases_held && all_slots_owned <<<"$status"
}

# caller_addresses: prints the caller addresses of all instances, separated by commas.
caller_addresses() { cat "$work"/ports/*.caller | paste -sd, -; }

# start_deployment EXAMPLE INSTANCES_PER_DATA_CENTRE: starts stand-ins and instances and waits until
# every target is served.
start_deployment() {
    local example=$root/examples/$1 instances_per_data_centre=$2 file name dc index
    mkdir -p "$work"/{out,pids,ports,history,logs,config}
    start_process platform "$bin/standins/standin_platform" --port_file="$work/ports/platform" \
        --retention_ms="${retention_ms:-3600000}"
    wait_for 20 test -s "$work/ports/platform"
    local retention=${retention_ms:-3600000}
    platform=127.0.0.1:$(cat "$work/ports/platform")
    cp "$example"/*.ini "$work/config/"
    sed -i "s/^retention_ms = .*/retention_ms = $retention/" "$work/config/base.ini"
    for file in "$work"/config/*.ini; do
        [[ $file == */base.ini ]] && continue
        for name in $(sed -n 's/^\[target\.\(.*\)\]$/\1/p' "$file"); do
            start_target "$name" "$file" 0
        done
    done
    for file in "$work"/config/*.ini; do
        [[ $file == */base.ini ]] && continue
        for name in $(sed -n 's/^\[target\.\(.*\)\]$/\1/p' "$file"); do
            wait_for 20 test -s "$work/ports/$name"
            sed -i "/^\[target\.$name\]$/,/^$/s/^address = .*/address = 127.0.0.1:$(cat "$work/ports/$name")/" "$file"
        done
    done
    "$bin/daemons/teaseltallyctl" publish --platform="$platform" "$work/config/base.ini" \
        $(ls "$work"/config/*.ini | grep -v /base.ini)
    for dc in $(sed -n 's/^\[data_centre\.\(.*\)\]$/\1/p' "$work/config/base.ini"); do
        for ((index = 1; index <= instances_per_data_centre; ++index)); do
            start_instance "$dc-$index" "$dc"
        done
    done
    local first_name
    first_name=$(basename "$(ls "$work"/ports/*.operator | head -n 1)" .operator)
    wait_for 30 ready "$first_name"
    wait_for 40 all_targets_served "$first_name"
}
