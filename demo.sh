#!/usr/bin/env bash
# Installs all dependencies, builds, starts the stand-ins and a fleet on loopback, sends
# requests of both customers and prints the results. Exits with 0 only if each outcome was
# right. Set NODES to the number of entry hosts.
set -euo pipefail
cd "$(dirname "$0")"
nodes=${NODES:-3}

tools/install_packages.sh
cmake --preset release > /dev/null
cmake --build --preset release

bin=$PWD/build/release/bin
work=$(mktemp -d)
pids=()
entry=()
entry_pids=()
peers=()
failed=0

# Stops every process that was started here, by its number.
stop_all() {
    for pid in "${pids[@]}"; do
        kill "$pid" 2> /dev/null || true
    done
    wait 2> /dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

# start NAME PROGRAM ARGUMENTS... — starts a program and sets `address` to where it listens.
start() {
    local name=$1
    shift
    "$@" > "$work/$name.out" 2> "$work/$name.log" &
    pids+=($!)
    for _ in $(seq 200); do
        address=$(awk 'NR == 1 {print $NF}' "$work/$name.out")
        [ -z "$address" ] || return 0
        sleep 0.05
    done
    echo "$name did not start:" >&2
    cat "$work/$name.log" >&2
    exit 1
}

# http METHOD ADDRESS PATH BODY [HEADER...] — prints the answer, head and body.
http() {
    local method=$1 host=${2%:*} port=${2##*:} path=$3 body=$4
    shift 4
    exec 3<> "/dev/tcp/$host/$port"
    {
        printf '%s %s HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n' "$method" "$path"
        printf 'Content-Length: %d\r\n' "${#body}"
        [ $# -eq 0 ] || printf '%s\r\n' "$@"
        printf '\r\n%s' "$body"
    } >&3
    cat <&3
    exec 3>&-
}

# row WHAT RESULT OK — prints a line of the table; a failure makes the script exit with 1.
row() {
    printf '%-58s %-26s %s\n' "$1" "$2" "$3"
    [ "$3" = right ] || failed=1
}

# expect WHAT TEXT ANSWER — checks that the answer contains the text.
expect() {
    if [[ $3 == *"$2"* ]]; then row "$1" "$2" right; else row "$1" "$(head -1 <<< "$3")" WRONG; fi
}

# load WHAT SERVICE PREFIX ADAPTERS VERSION TARGETS... — 200 checked requests.
load() {
    local what=$1 service=$2 prefix=$3 adapters=$4 version=$5 targets=() target
    shift 5
    for target in "$@"; do targets+=(--target "$target"); done
    if "$bin/marjorampath-bench" path "${targets[@]}" --service "$service" \
        --adapter-prefix "$prefix" --adapters "$adapters" --adapter-version "$version" \
        --requests 200 --streams 16 --duration 60 --tokens 12 --streamed-percent 50 \
        --sendings 10 > "$work/load.out" &&
        grep -qE '^whole +200$' "$work/load.out"; then
        row "$what" "200 whole, 0 wrong" right
    else
        cat "$work/load.out" >&2
        row "$what" "see above" WRONG
    fi
}

# hosts STATE-OF-ENGINE-0 — publishes the host list.
hosts() {
    local list="" index name kind zone state
    for name in "${!endpoint[@]}"; do
        kind=${name%-*}
        zone=zone-$((${name##*-} % 2))
        state=live
        [ "$name" = cotton-engine-0 ] && state=$1
        list+="${list:+,}{\"name\":\"$name\",\"role\":\"endpoint\",\"kind\":\"$kind\","
        list+="\"address\":\"${endpoint[$name]}\",\"zone\":\"$zone\",\"region\":\"demo\","
        list+="\"state\":\"$state\"}"
    done
    for index in "${!peers[@]}"; do
        list+=",{\"name\":\"entry-$index\",\"role\":\"entry\",\"kind\":\"\","
        list+="\"address\":\"${peers[$index]}\",\"zone\":\"zone-$((index % 2))\","
        list+="\"region\":\"demo\",\"state\":\"live\"}"
    done
    http PUT "$host_list" /standin/hosts "{\"hosts\":[$list]}" > /dev/null
}

# The platform
start store "$bin/marjorampath-standin" store --load-ms 100
store=$address
start configuration "$bin/marjorampath-standin" configuration \
    --sheet settings/example/sheet-1 --sheet-number 1
configuration=$address
start hosts "$bin/marjorampath-standin" hosts
host_list=$address

# Endpoints of both customers
declare -A endpoint
for index in 0 1; do
    start "cotton-engine-$index" "$bin/marjorampath-standin" engine --store "$store" --token-ms 2
    endpoint[cotton-engine-$index]=$address
    start "auction-engine-$index" "$bin/marjorampath-standin" engine --store "$store" \
        --token-ms 2 --ignore-fence
    endpoint[auction-engine-$index]=$address
done
start cotton-portal-0 "$bin/marjorampath-standin" service
endpoint[cotton-portal-0]=$address
start auction-ledger-0 "$bin/marjorampath-standin" service
endpoint[auction-ledger-0]=$address
hosts live

# Entry hosts in two zones
for index in $(seq 0 $((nodes - 1))); do
    cat > "$work/entry-$index.yaml" << END
host: entry-$index
zone: zone-$((index % 2))
region: demo
callers: 127.0.0.1:0
configuration_service: $configuration
host_list: $host_list
host_list_interval_ms: 200
shutdown_notice_ms: 500
fleet:
  address: 127.0.0.1:0
  zones: zone-0,zone-1
END
    start "entry-$index" "$bin/marjorampathd" --settings "$work/entry-$index.yaml"
    entry_pids+=("${pids[-1]}")
    entry+=("$address")
    peers+=("$(awk 'NR == 1 {print $2}' "$work/entry-$index.out")")
done
hosts live
for node in "${entry[@]}"; do
    for _ in $(seq 200); do
        [[ $(http GET "$node" /services/hammer/up "") == *" 200 OK"* ]] && break
        sleep 0.05
    done
done

printf '\n%-58s %-26s %s\n' "what" "result" "verdict"
first=${entry[0]}
last=${entry[-1]}

# Trazalgodón's dossiers and Ennstal's summaries, whole and streamed
load "dossiers, 6 adapters in 8 slots" dossier origin- 6 v1 "${entry[@]}"
load "inspection notes" inspection gin- 3 v1 "${entry[@]}"
load "catalogue summaries, engines that ignore fencing" catalogue herd- 6 v1 "${entry[@]}"
load "bidder replies" bidder reply- 2 v1 "${entry[@]}"

# Plain services, also over a broken connection
expect "custody transfer" "200 OK" "$(http POST "$first" /services/custody/transfers/1 '{}')"
http POST "${endpoint[cotton-portal-0]}" /standin/set '{"break_after":1}' > /dev/null
expect "custody transfer, connection breaks after it ran" "X-Outcome: unknown" \
    "$(http POST "$last" /services/custody/transfers/2 '{}')"
count=$(http GET "${endpoint[cotton-portal-0]}" /records "" | grep -c '/transfers/2"')
row "  executed" "$count time" "$([ "$count" = 1 ] && echo right || echo WRONG)"
http POST "${endpoint[auction-ledger-0]}" /standin/set '{"break_after":1}' > /dev/null
expect "price look-up, connection breaks, sent again" "200 OK" \
    "$(http GET "$first" /services/hammer/prices/7 "")"

# Bad requests
expect "unknown adapter" "X-Outcome: not-run" \
    "$(http POST "$first" /dossier/v1/completions '{"model":"nobody","prompt":"x"}')"
expect "malformed request" "X-Outcome: not-run" \
    "$(http POST "$last" /dossier/v1/completions '{"model"')"

# Faults: an engine that restarts empty, loads that fail
http POST "${endpoint[cotton-engine-1]}" /standin/set '{"load_failures":2}' > /dev/null
http POST "${endpoint[cotton-engine-0]}" /standin/crash '{}' > /dev/null || true
load "dossiers while an engine restarts and loads fail" dossier origin- 6 v1 "${entry[@]}"

# The next sheet, then an older one, which must be ignored
http POST "$configuration" /standin/sheet \
    '{"dir":"settings/example/sheet-2","number":2}' > /dev/null
sleep 3
load "dossiers by the next sheet" dossier origin- 6 v2 "${entry[@]}"
http POST "$configuration" /standin/sheet \
    '{"dir":"settings/example/sheet-1","number":1}' > /dev/null
sleep 1
load "dossiers after an older sheet was published" dossier origin- 6 v2 "${entry[@]}"

# An engine that leaves
hosts leaving
sleep 3
before=$(http GET "${endpoint[cotton-engine-0]}" /records "" | grep -c '"outcome"' || true)
load "dossiers while an engine leaves" dossier origin- 6 v2 "${entry[@]}"
after=$(http GET "${endpoint[cotton-engine-0]}" /records "" | grep -c '"outcome"' || true)
row "  requests at the engine that left" "$((after - before))" \
    "$([ "$after" = "$before" ] && echo right || echo WRONG)"

# Violations that the engines recorded
violations=0
for name in "${!endpoint[@]}"; do
    seen=$(http GET "${endpoint[$name]}" /records "" | grep -c '"violation"' || true)
    violations=$((violations + seen))
done
row "adapters evicted while serving" "$violations" \
    "$([ "$violations" = 0 ] && echo right || echo WRONG)"

# SIGTERM must make each node exit with status 0
kill -TERM "${entry_pids[@]}"
for index in "${!entry_pids[@]}"; do
    status=0
    wait "${entry_pids[$index]}" || status=$?
    row "entry-$index stopped by SIGTERM" "status $status" \
        "$([ "$status" = 0 ] && echo right || echo WRONG)"
done

echo
[ "$failed" -eq 0 ] && echo "every outcome was right" || echo "an outcome was WRONG"
exit "$failed"
