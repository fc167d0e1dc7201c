#!/usr/bin/env bash
# Streams begin all the while an old engine's entry is removed; then all entry nodes but one
# are killed at once, and the streams are taken up again at that one. Some of their clients
# wait longer than the route's timeout. Exits with 1 if a text is joined from two versions.
# Two releases, one after the other.
source "$(dirname "$0")/../fleet-3.sh"
export RESUMES=1

start_store
put op/config '{"version":3,
  "routes":[{"name":"drafts","host":"case.example","prefix":"/drafts/","type":"streaming",
    "resumable":true,"timeoutMs":6000,"goalMs":1000,"gapGoalMs":600,"priority":1,
    "maxAttempts":2,"service":"lm","sticky":true}],
  "services":[{"name":"lm","healthPath":"/healthz","maxConns":400,
    "engine":{"slots":200,"kvCapacity":232000,"weightsMb":66000,"adapterSlots":4,
      "models":[{"name":"m0","weightsMb":65000,"loadS":1.9,"adapters":50,"adapterMb":12}]}}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,
    "idleTimeoutMs":10000}}'

# start_engine ID VERSION
start_engine() {
    start "$1" "$root/target/bin/marjorampath-standin" users-endpoint --id "$1" \
        --service lm --zone zone-a --model m0 --store "$store" --software "$2" \
        --slots 200 --work-ms 100 --records "$folder/records"
    engine=$(address_of "$1")
    [ -n "$engine" ] || give_up "no engine $1"
    call POST "$engine" /standin/set "{\"address\":\"$engine\"}" > /dev/null
}

fields=("Host: case.example" "X-Model: m0/a1" "X-Token-Count: 100,45"
    "X-Prompt-Prefix: a1:60,b2:40")
start_engine i-0 v0
# Their readings of the store are not in step
start_gap=0.2 start_nodes 6
"$client" stream warm /drafts/x 20000 "$net.6:8149" -- "${fields[@]}" > "$folder/warm"
grep -q '^complete' "$folder/warm" || give_up "no stream was served"

# begin_stream NAME DEADLINE_MS NODE: begins at node 6, goes on at NODE
begin_stream() {
    "$client" stream "$1" /drafts/x "$2" "$net.6:8149" "$net.$3:8149" -- "${fields[@]}" \
        > "$folder/$1" &
    readers+=($!)
    names+=("$1")
}

joined_early=0
joined_between=0
for round in 1 2; do
    old=$engine
    readers=()
    names=()
    start_engine "i-$round" "v$round"
    say "engine i-$round of version v$round starts"
    # Another phase of the readings in each round
    sleep "7.$((round * 25 + 5))"
    # Until the new engine has the adapter
    for load in $(seq 8); do
        loads=()
        for number in $(seq 12); do
            "$client" stream "load$round-$load-$number" /drafts/x 6000 "$net.2:8149" -- \
                "Host: case.example" "X-Model: m0/a1" "X-Token-Count: 20000,3" \
                "X-Prompt-Prefix: d$round$load$number:20000" > /dev/null &
            loads+=($!)
        done
        wait "${loads[@]}"
        grep -q "\"event\":\"run\",\"endpoint\":\"i-$round\"" "$folder/records" && break
    done
    say "streams begin at node 6; the route's timeout is 6000 ms"
    for number in $(seq 24); do
        begin_stream "early$round-$number" 8000 1
    done
    for number in $(seq 80); do
        begin_stream "s$round-$number" 6000 1
        if [ "$number" = 32 ]; then
            call POST "$old" /standin/set '{"unlisted":true}' > /dev/null
            call PUT "$store" "/standin/delete?key=servers/i-$((round - 1))" > /dev/null
            say "the entry of i-$((round - 1)) is removed; it serves on"
        fi
        sleep 0.025
    done
    sleep 0.2
    for number in 2 3 4 5 6; do
        [ "$trouble" = 0 ] || signal KILL "node-$number"
    done
    wait "${readers[@]}"
    for name in "${names[@]}"; do
        file="$folder/$name"
        versions=$(grep -oE '^[a-z0-9-]+:[0-9]+:v[0-9]+' "$file" | cut -d: -f3 | uniq -c |
            tr -s ' \n' ' ')
        echo "$name: $(tail -1 "$file"), events by version:$versions" >> "$record"
        [ "$(echo "$versions" | wc -w)" -gt 2 ] || continue
        sed 's/^/    /' "$file" | grep -v ':v' >> "$record"
        if [ "${name#early}" != "$name" ]; then
            joined_early=$((joined_early + 1))
        else
            joined_between=$((joined_between + 1))
        fi
    done
    grep -h "endpoint_lost endpoint=i-$((round - 1)) " "$folder"/node-*.log |
        cut -d' ' -f1-5 >> "$record"
    if [ "$trouble" != 0 ]; then
        for number in 2 3 4 5 6; do
            start_node "$number"
        done
        for number in 2 3 4 5 6; do
            await_ready "$number"
        done
    fi
done
grep -h stream_resumed "$folder"/node-*.log | grep -o 'source=.*' | sort | uniq -c >> "$record"
say "joined: $joined_early texts of clients that wait 8000 ms, $joined_between of the others"
if [ $((joined_early + joined_between)) -gt 0 ]; then
    say "ORDER is broken"
    exit 1
fi
say "held"
exit 0
