#!/usr/bin/env bash
# Two versions are in service. Two entry nodes are killed, one second apart; the streams of
# both are taken up again at a third. Exits with 1 if a text is joined from two versions.
source "$(dirname "$0")/../fleet-3.sh"

start_store
put op/config '{"version":3,
  "routes":[{"name":"drafts","host":"case.example","prefix":"/drafts/","type":"streaming",
    "resumable":true,"timeoutMs":6000,"goalMs":1000,"gapGoalMs":600,"priority":1,
    "maxAttempts":2,"service":"lm","sticky":true}],
  "services":[{"name":"lm","healthPath":"/healthz","maxConns":400,
    "engine":{"slots":64,"kvCapacity":232000,"weightsMb":66000,"adapterSlots":4,
      "models":[{"name":"m0","weightsMb":65000,"loadS":1.9,"adapters":50,"adapterMb":12}]}}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,
    "idleTimeoutMs":10000}}'

# start_engine ID VERSION: nodes reach the engine through a proxy that knows its prompts
start_engine() {
    start "$1" "$root/target/bin/marjorampath-standin" users-endpoint --id "$1" \
        --service lm --zone zone-a --model m0 --store "$store" --software "$2" \
        --slots 64 --work-ms 100 --records "$folder/records"
    local engine
    engine=$(address_of "$1")
    start "proxy-$1" "$root/target/review-3/kept_parts_proxy" "$engine"
    call POST "$engine" /standin/set "{\"address\":\"$(address_of "proxy-$1")\"}" > /dev/null
}

# stream NAME TOKENS PARTS NODE...: runs in the background
readers=()
stream() {
    local name=$1 tokens=$2 parts=$3 addresses=() node
    for node in "${@:4}"; do
        addresses+=("$net.$node:8149")
    done
    "$client" stream "$name" /drafts/x 6000 "${addresses[@]}" -- "Host: case.example" \
        "X-Model: m0/a1" "X-Token-Count: $tokens" "X-Prompt-Prefix: $parts" \
        > "$folder/$name" &
    readers+=($!)
}
await_streams() { wait "${readers[@]}"; readers=(); }

sessions=24
start_engine i-old v1
start_nodes 4
for round in 1 2 3; do
    stream "warm-$round" 100,3 a1:60,b1:40 2
    await_streams
done
grep -q '^complete' "$folder/warm-3" || give_up "no stream was served"

# The first request of each session; the last part of its prompt is the session's own
for number in $(seq "$sessions"); do
    stream "first-$number" 100,3 "a1:60,c$number:40" 2
done
await_streams
say "$sessions sessions had a request each, at version v1"

# Half of a release: the new engine starts first, and both serve
start_engine i-new v2
say "engine i-new of version v2 starts"
sleep 7
for round in $(seq 8); do
    for number in $(seq 12); do
        stream "load-$round-$number" 20000,3 "d$round$number:20000" 2
    done
    await_streams
    grep -q '"event":"run","endpoint":"i-new"' "$folder/records" && break
done
grep -q '"event":"run","endpoint":"i-new"' "$folder/records" ||
    give_up "the new engine got no request"

stream other 100,45 a1:60,e1:40 1 3
sleep 1
[ "$trouble" = 0 ] || signal KILL node-1
sleep 0.15
say "the next stream of each session begins at node 4"
for number in $(seq "$sessions"); do
    stream "next-$number" 100,45 "a1:60,c$number:40" 4 3
done
sleep 0.75
[ "$trouble" = 0 ] || signal KILL node-4
await_streams

joined=0
for name in other $(seq -f "next-%.0f" "$sessions"); do
    file="$folder/$name"
    versions=$(grep -oE '^[a-z0-9-]+:[0-9]+:v[0-9]+' "$file" | cut -d: -f3 | uniq -c |
        tr -s ' \n' ' ')
    echo "$name: $(tail -1 "$file"), events by version:$versions" >> "$record"
    if [ "$(echo "$versions" | wc -w)" -gt 2 ]; then
        joined=$((joined + 1))
        sed 's/^/    /' "$file" | grep -v ':v' >> "$record"
    fi
done
grep -h -E 'stream_resumed|kept_parts_read' "$folder"/node-3.log | cut -c1-160 >> "$record"
if [ "$joined" -gt 0 ]; then
    say "ORDER is broken: $joined texts of two versions"
    exit 1
fi
say "held"
exit 0
