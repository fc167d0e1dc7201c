# Sourced by the scripts of review/11 to review/15: starts a store, engines and entry
# nodes on loopback addresses of their own, and ends them.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
client="$root/target/review-3/case_client"
trouble=${TROUBLE:-1}
record="$here/record.txt"
folder=$(mktemp -d)
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
declare -A process
: > "$record"

say() { echo "$(($(date +%s%N) / 1000000 - begun_ms)) ms $*" >> "$record"; }
begun_ms=$(($(date +%s%N) / 1000000))

# Ends all processes that were started here
end_all() {
    for name in "${!process[@]}"; do
        kill -KILL "${process[$name]}" 2> /dev/null
        wait "${process[$name]}" 2> /dev/null
    done
    rm -rf "$folder"
}
trap end_all EXIT

give_up() { say "cannot run: $*"; echo "cannot run: $*" >&2; exit 2; }

# start NAME COMMAND...: the output goes to $folder/NAME.log
start() {
    local name=$1
    shift
    "$@" > "$folder/$name.log" 2>&1 &
    process[$name]=$!
    disown
}

# Address at which a stand-in listens
address_of() {
    local found
    for _ in $(seq 100); do
        found=$(sed -n 's/^listening on //p' "$folder/$1.log" 2> /dev/null | head -1)
        [ -n "$found" ] && { echo "$found"; return; }
        sleep 0.05
    done
}

call() { "$client" call "$@"; }

start_store() {
    start store "$root/target/bin/marjorampath-standin" users-store
    store=$(address_of store)
    [ -n "$store" ] || give_up "no store"
}

# put KEY JSON: the operator, or an engine, writes to the store
put() { [ "$(call PUT "$store" "/standin/put?key=$1" "$2")" = 200 ] || give_up "put $1"; }

# start_nodes COUNT: entry nodes with the settings of deploy/settings.yaml.template, one
# each $start_gap seconds
start_nodes() {
    local count=$1 seeds="" index
    for index in $(seq "$count"); do
        seeds="$seeds${seeds:+,}\"$net.$index:8144\""
        [ "$index" = 3 ] && break
    done
    for index in $(seq "$count"); do
        cat > "$folder/node-$index.yaml" << END
host: "edge-zone-a-$index"
zone: "zone-a"
callers: "$net.$index:8149"
readiness: "$net.$index:8141"
readiness_path: "/api/readyz"
relay: "$net.$index:8144"
peers: "$net.$index:7380"
seeds: [$seeds]
store: "$store"
order_quiet_ms: 3000
grace_s: 8
retry_ratio: 0.2
retry_window_s: 10
retry_extra: 58
descriptors: 4100
memory_mb: 260
metrics: "$net.$index:9464"
${more_settings:-}
END
        start_node "$index"
        sleep "${start_gap:-0}"
    done
    for index in $(seq "$count"); do
        await_ready "$index"
    done
}

start_node() {
    start "node-$1" "$root/target/bin/marjorampath-entry" --settings "$folder/node-$1.yaml"
}

await_ready() {
    for _ in $(seq 200); do
        [ "$(call GET "$net.$1:8141" /api/readyz 2> /dev/null)" = 200 ] && return
        sleep 0.05
    done
    give_up "node $1 did not become ready"
}

# signal SIGNAL NAME
signal() {
    say "$1 to $2"
    kill "-$1" "${process[$2]}"
}
