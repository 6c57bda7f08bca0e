#!/usr/bin/env bash
# Callers over TLS. Guards against a certificate of the settings that is not
# used, plain HTTP on a TLS port that is answered, a stream that TLS cuts, and a
# caller that leaves a TLS stream unnoticed.
# usage: tls.sh BUILD
set -euo pipefail
# shellcheck source=script/lib/fleet.sh
. script/lib/fleet.sh
fleet_open "$1" 71 tan-seng-huat
FLEET_ENGINE_ARGS="--cold-ms 0" fleet_start_upstreams 3 >/dev/null
fleet_apply "$FLEET_DIR/fleet.yaml" >/dev/null
openssl req -x509 -newkey rsa:2048 -nodes -days 1 -subj /CN=router.test \
	-keyout "$FLEET_DIR/key.pem" -out "$FLEET_DIR/cert.pem" 2>/dev/null
echo "tls: {certificate: $FLEET_DIR/cert.pem, key: $FLEET_DIR/key.pem}" \
	>>"$FLEET_DIR/host-1.yaml"
fleet_start_hosts 1
host=$(fleet_host_address host-1)
key='authorization: Bearer key-yard-01'
failures=0

fail() {
	echo "FAIL $*"
	failures=$((failures + 1))
}

secure() {
	curl -s -m 10 --cacert "$FLEET_DIR/cert.pem" \
		--connect-to "router.test:8080:$host:8080" -H "$key" "$@"
}

secure https://router.test:8080/v1/models | grep -q '"small"' ||
	fail "no models over TLS"
secure -d '{"model":"small","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"x"}]}' \
	https://router.test:8080/v1/chat/completions | grep -q '^data: \[DONE\]' ||
	fail "the stream over TLS is not whole"
curl -s -m 3 -H "$key" "http://$host:8080/v1/models" | grep -q small &&
	fail "plain HTTP was answered on the TLS port"

# The caller leaves a long stream; the engine must see the cancel.
curl -s -m 1 --cacert "$FLEET_DIR/cert.pem" -o /dev/null \
	--connect-to "router.test:8080:$host:8080" -H "$key" \
	-d '{"model":"small","stream":true,"max_tokens":2000,"messages":[{"role":"user","content":"y"}]}' \
	https://router.test:8080/v1/chat/completions || true
sleep 1.5
engine=$(fleet_upstream_address engine-1)
cancelled=0
for name in engine-1 engine-2 engine-3; do
	engine=$(fleet_upstream_address "$name")
	curl -fs -m 2 "http://$engine:9000/record" | grep -q '"cancelled"' &&
		cancelled=$((cancelled + 1))
done
[ "$cancelled" -ge 1 ] || fail "no engine saw the caller leave"

# A key that does not fit is refused at the start.
openssl req -x509 -newkey rsa:2048 -nodes -days 1 -subj /CN=other.test \
	-keyout "$FLEET_DIR/other.pem" -out /dev/null 2>/dev/null
sed -e 's#, key: [^}]*#, key: '"$FLEET_DIR"'/other.pem#' -e 's/8080/8090/; s/8081/8091/; s/port: 7000}$/port: 7010}/' \
	"$FLEET_DIR/host-1.yaml" >"$FLEET_DIR/wrong.yaml"
code=0
timeout 5 "$FLEET_BUILD/pistachiorackd" --settings "$FLEET_DIR/wrong.yaml" \
	2>"$FLEET_DIR/wrong.log" || code=$?
[ "$code" = 4 ] || fail "a wrong key ended with $code: $(cat "$FLEET_DIR/wrong.log")"
fleet_stop || fail "stop"
[ "$failures" -eq 0 ]
