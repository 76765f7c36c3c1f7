# Sourced by utils/demo, the measurements and the end-to-end tests: starts and stops a small system on loopback.
#
# The system has three availability zones with one address each (127.0.1.1, 127.0.2.1, 127.0.3.1), seven entry VMs, of
# which three are also control VMs, and three groups of three stand-in databases.

bin=${DAISYRELAY_BIN:-$root/build/tools}
base_port=${DAISYRELAY_PORT:-7100}
vm_count=${DAISYRELAY_VMS:-7}
pids=()

zone_of() { echo $((($1 - 1) % 3 + 1)); }
vm_host() { echo "127.0.$(zone_of "$1").1"; }
vm_http() { echo "$(vm_host "$1"):$((base_port + $1))"; }
vm_peer() { echo "$(vm_host "$1"):$((base_port + 100 + $1))"; }
db_host() { echo "127.0.$2.1"; }
db_port() { echo $((base_port + 200 + $1 * 10 + $2)); }

# Policy of the entry VMs; set before start_system to compare policies.
policy=${policy:-default}

use_users_settings() {
    if [ "$1" = isartal ]; then
        service=savings-ledger zones=(muc-nord muc-sued freising) region=bayern
        slots=3 connections=40 settings="$root/utils/settings/isartal.yaml"
        read_class=balances write_class=postings
    else
        service=rotable-db zones=(coanda chitila berceni) region=ro-muntenia
        slots=2 connections=16 settings="$root/utils/settings/carpatica.yaml"
        read_class=lookups write_class=reservations
    fi
}

write_vm_settings() {
    local vm=$1 zone roles=entry folder=""
    zone=$(zone_of "$vm")
    if [ "$vm" -le 3 ]; then
        roles="entry, control"
        mkdir -p "$work/vm$vm"
        folder="data_folder: $work/vm$vm"
    fi
    {
        echo "id: vm$vm"
        echo "zone: ${zones[$((zone - 1))]}"
        echo "region: $region"
        echo "roles: [$roles]"
        echo "http: $(vm_http "$vm")"
        echo "peer: $(vm_peer "$vm")"
        echo "secret: demonstration-secret-0001"
        [ -z "$folder" ] || echo "$folder"
        [ "$policy" = default ] || echo "policy: $policy"
        echo "seeds:"
        local other
        for other in $(seq 1 "$vm_count"); do
            echo "  - {id: vm$other, peer: \"$(vm_peer "$other")\", control: $([ "$other" -le 3 ] && echo true || echo false)}"
        done
    } >"$work/vm$vm.yaml"
}

start_vm() {
    "$bin/daisyrelayd/daisyrelayd" --settings "$work/vm$1.yaml" >>"$work/vm$1.log" 2>&1 &
    vm_pid[$1]=$!
    pids+=($!)
}

start_db() {
    local group=$1 zone=$2 entries="" vm
    for vm in $(seq 1 "$vm_count"); do
        entries+="$(vm_http "$vm"),"
    done
    "$bin/daisyrelay-standin/daisyrelay-standin" --id "g$group-$zone" --service "$service" --group "g$group" \
        --zone "${zones[$((zone - 1))]}" --host "$(db_host "$group" "$zone")" --port "$(db_port "$group" "$zone")" \
        --entries "$entries" --connections "$connections" --slots "$slots" ${standin_flags:-} >>"$work/g$group-$zone.log" 2>&1 &
    db_pid[$((group * 10 + zone))]=$!
    pids+=($!)
}

start_system() {
    declare -gA vm_pid db_pid
    local vm group zone
    for vm in $(seq 1 "$vm_count"); do
        write_vm_settings "$vm"
        start_vm "$vm"
    done
    for group in 1 2 3; do
        for zone in 1 2 3; do
            start_db "$group" "$zone"
        done
    done
}

stop_system() {
    local pid
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    pids=()
}

ctl() {
    local vm=$1
    shift
    "$bin/daisyrelayctl/daisyrelayctl" --server "$(vm_http "$vm")" "$@"
}

all_entries() {
    local vm list=""
    for vm in $(seq 1 "$vm_count"); do
        list+="$(vm_http "$vm"),"
    done
    echo "${list%,}"
}

# Repeats a command until it succeeds, at most $1 times with 100 ms between them.
until_ok() {
    local tries=$1
    shift
    while ! "$@" >/dev/null 2>&1; do
        tries=$((tries - 1))
        if [ "$tries" -le 0 ]; then
            return 1
        fi
        sleep 0.1
    done
}

statement() {
    local vm=$1 class=$2 group=$3 kind=$4 text=$5 token=${6:-} key=${7:-}
    local headers=(-H "Content-Type: application/json")
    local repeatable=true
    [ -z "$token" ] || headers+=(-H "Daisyrelay-Session: $token")
    if [ -n "$key" ]; then
        headers+=(-H "Idempotency-Key: $key")
        repeatable=false
    fi
    curl -s -m 5 -D "$work/headers" "${headers[@]}" "http://$(vm_http "$vm")/v1/statements" \
        -d "{\"service\":\"$service\",\"class\":\"$class\",\"group\":\"$group\",\"kind\":\"$kind\",\"repeatable\":$repeatable,\"statement\":\"$text\",\"deadline_ms\":2000}"
    token_out=$(sed -n 's/^Daisyrelay-Session: *\([^\r]*\)\r*$/\1/Ip' "$work/headers")
}
