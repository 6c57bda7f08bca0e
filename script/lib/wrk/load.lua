-- Requests for script/bench. Arguments after "--": kind (chat, repeatable,
-- claim, stream-<tokens>), key prefix, rate per second (0: closed loop), connections, seed.
-- With a rate each connection waits an exponential time between requests, so
-- that arrivals are close to an open loop with many connections.
local threads = 0
local chat = '{"model":"small","max_tokens":8,"messages":' ..
	'[{"role":"user","content":"which route is free before dawn"}]}'

function setup(thread)
	thread:set("number", threads)
	threads = threads + 1
end

function init(args)
	kind = args[1]
	prefix = args[2]
	local rate, connections = tonumber(args[3]), tonumber(args[4])
	math.randomseed(tonumber(args[5]) + number)
	mean = rate > 0 and 1000 * connections / rate or 0
	count = 0
	headers = { authorization = "Bearer key-yard-01" }
	headers["content-type"] = "application/json"
	if mean == 0 then
		delay = nil
	end
	if kind == "chat" then
		fixed = wrk.format("POST", nil, headers, chat)
	elseif kind:sub(1, 7) == "stream-" then
		local body = chat:gsub('8,', kind:sub(8) .. ',"stream":true,', 1)
		fixed = wrk.format("POST", nil, headers, body)
	elseif kind == "repeatable" then
		fixed = wrk.format("POST", nil, headers, '{"account":7}')
	end
end

function delay()
	return math.floor(-mean * math.log(1 - math.random()) + 0.5)
end

function request()
	if fixed then
		return fixed
	end
	count = count + 1
	headers["idempotency-key"] = prefix .. "-" .. number .. "-" .. count
	return wrk.format("POST", nil, headers, '{"amount":1}')
end

function done(summary, latency)
	local errors = summary.errors
	io.write(string.format("result %.1f %d %d %d %d %d\n",
		summary.requests / summary.duration * 1e6,
		latency:percentile(50), latency:percentile(99),
		errors.connect + errors.read + errors.write + errors.status +
		errors.timeout, summary.requests, summary.bytes))
end
