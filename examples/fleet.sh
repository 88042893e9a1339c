#!/bin/bash
# Runs a small fleet as separate processes: bash examples/fleet.sh DIRECTORY COMMAND...
# COMMAND runs beside it with HOST_URLS, HOST_PIDS, KEY and ENGINE_URL set.
set -euo pipefail
folder=$1
shift
run=${TURMERICTALLY:-.venv/bin/turmerictally}
base=${FLEET_PORT:-19100}
hosts=${FLEET_HOSTS:-4}
engines=${FLEET_ENGINES:-2}
step=${FLEET_STEP_S:-0.02}
domains=(luzon-a luzon-b)
mkdir -p "$folder"
pids=()
host_pids=()
stop_all() {
    kill -TERM "${host_pids[@]}" 2>/dev/null || true
    wait "${host_pids[@]}" 2>/dev/null || true
    kill -TERM "${pids[@]}" 2>/dev/null || true
    wait
}
trap stop_all EXIT

$run standin platform --listen "127.0.0.1:$base" > "$folder/platform.url" &
pids+=($!)
for ((i = 0; i < engines; i++)); do
    $run standin engine --platform "http://127.0.0.1:$base" --name "engine-$i" \
        --region luzon --failure-domain "${domains[i % 2]}" --service assist \
        --models small --step-s "$step" --capacity 64 \
        --listen "127.0.0.1:$((base + 10 + i))" > "$folder/engine-$i.url" &
    pids+=($!)
done
$run standin service --platform "http://127.0.0.1:$base" --name stock-1 \
    --region luzon --failure-domain luzon-a --service stock \
    --listen "127.0.0.1:$((base + 9))" > "$folder/service.url" &
pids+=($!)

operator_key=op-example
digest=$(printf %s "$operator_key" | sha256sum | cut -d' ' -f1)
urls=()
for ((i = 0; i < hosts; i++)); do
    cat > "$folder/host-$i.yaml" <<YAML
host_id: host-$i
region: luzon
failure_domain: ${domains[i % 2]}
peer_secret: example-secret
listen:
  callers: 127.0.0.1:$((base + 100 + i))
  operators: 127.0.0.1:$((base + 200 + i))
  peers: 127.0.0.1:$((base + 300 + i))
platform: {url: "http://127.0.0.1:$base"}
operator_key_hashes: {example: $digest}
limits: {failure_domains: [luzon-a, luzon-b]}
log: {level: WARNING}
YAML
    $run serve "$folder/host-$i.yaml" 2> "$folder/host-$i.log" &
    host_pids+=($!)
    urls+=("http://127.0.0.1:$((base + 100 + i))")
done
for url in "${urls[@]}"; do
    for ((try = 0; try < 300; try++)); do
        curl -sf "$url/readyz" > "$folder/ready" && break
        sleep 0.1
    done
done
export TURMERICTALLY_OPERATOR="http://127.0.0.1:$((base + 200))"
export TURMERICTALLY_OPERATOR_KEY=$operator_key
{
    $run service put assist --models small
    $run service put stock --kind plain
    $run route put /stock stock
    $run route put /confirmations stock --idempotent GET
    $run contract put red --rate 5000 --burst 5000
} > "$folder/setup.log"
KEY=$($run key give red --json | python3 examples/field.py key)
export KEY HOST_URLS="${urls[*]}" HOST_PIDS="${host_pids[*]}"
export ENGINE_URL="http://127.0.0.1:$((base + 10))"
"$@"
