/** Documents for the tests of checks, and random changes to them. */
#ifndef TESTS_REVIEW_DOCUMENTS_H
#define TESTS_REVIEW_DOCUMENTS_H

#include <stdlib.h>

#include "pistachiorack/findings.h"
#include "pistachiorack/rand.h"
#include "pistachiorack/str.h"

/** An operator's document without findings. */
static const char routing_document[] =
	"{\n"
	" \"version\": 7,\n"
	" \"routes\": [\n"
	"  {\"name\": \"ledger\", \"host\": \"api.example\",\n"
	"   \"prefix\": \"/ledger/\", \"kind\": \"unsafe\",\n"
	"   \"service\": \"ledger\", \"timeout-ms\": 2500,\n"
	"   \"target-latency-ms\": 400, \"priority\": 2,\n"
	"   \"max-attempts\": 2, \"anonymous\": false,\n"
	"   \"session-affinity\": false, \"stream-resume\": false,\n"
	"   \"allowed-regions\": []},\n"
	"  {\"name\": \"chat\", \"host\": \"api.example\",\n"
	"   \"prefix\": \"/chat/\", \"kind\": \"streaming\",\n"
	"   \"timeout-ms\": 20000, \"target-latency-ms\": 2000,\n"
	"   \"gap-aim-ms\": 800, \"priority\": 1, \"max-attempts\": 2,\n"
	"   \"stream-resume\": true, \"allowed-regions\": [\"north\"],\n"
	"   \"sizes\": [\"small\", \"large\"],\n"
	"   \"traffic-split\": [\n"
	"    {\"service\": \"model\", \"weight\": 90},\n"
	"    {\"service\": \"model-b\", \"weight\": 10}]}],\n"
	" \"services\": [\n"
	"  {\"name\": \"ledger\", \"health-path\": \"/health\",\n"
	"   \"max-connections\": 370, \"cold-start-s\": 3.5},\n"
	"  {\"name\": \"model\", \"max-connections\": 370,\n"
	"   \"cold-per-s\": 12.0},\n"
	"  {\"name\": \"model-b\", \"max-connections\": 40}],\n"
	" \"limits\": {\"max-header-bytes\": 8192,\n"
	"  \"max-body-bytes\": 100000, \"header-timeout-ms\": 3000,\n"
	"  \"idle-timeout-ms\": 15000},\n"
	" \"tenants\": [\n"
	"  {\"name\": \"acme\", \"api-keys\": [\"key-1\", \"key-2\"],\n"
	"   \"priority\": 1, \"allowed-regions\": [\"north\", \"south\"]},\n"
	"  {\"name\": \"globex\", \"api-keys\": [\"key-3\"]}]\n"
	"}\n";

/** A fleet configuration without findings. */
static const char fleet_document[] =
	"format: 1\n"
	"defaults:\n"
	"  models: [small]\n"
	"  quality_target: 0.9\n"
	"  first_token_ms: 900\n"
	"  between_tokens_ms: 30\n"
	"  objective: 0.95\n"
	"  limits: {in_flight: 10}\n"
	"models:\n"
	"- name: small\n"
	"  versions:\n"
	"  - {name: v1, price_in: 1, price_out: 1}\n"
	"  - {name: v2, state: rolling, share: 500, replaces: v1,\n"
	"     price_in: 1, price_out: 1}\n"
	"- name: large\n"
	"  versions: [{name: v1, price_in: 1, price_out: 1}]\n"
	"zones: [{name: prai, region: r}, {name: ipoh, region: r}]\n"
	"upstreams:\n"
	"- {name: e1, address: 127.0.0.1, port: 1, zone: prai, slots: 12,\n"
	"   serves: [small@v1, small@v2]}\n"
	"- {name: e2, address: 127.0.0.1, port: 2, zone: ipoh, slots: 12,\n"
	"   serves: [large@v1]}\n"
	"- {name: l1, kind: ledger, address: 127.0.0.1, port: 3, zone: ipoh,\n"
	"   slots: 12, serves: [billing]}\n"
	"workspaces:\n"
	"- name: yard\n"
	"  keys: [00000000000000000000000000000000"
	"00000000000000000000000000000000]\n"
	"- name: shed\n"
	"  keys: [11111111111111111111111111111111"
	"11111111111111111111111111111111]\n"
	"services:\n"
	"- {name: billing, operations: [{name: read, repeatable: true}]}\n"
	"exceptions:\n"
	"- {workspace: yard, reason: trial, models: [large]}\n";

/** One replacement in a document and the finding that must follow. */
typedef struct review_case_t {
	const char *from, *to;
	pr_finding_level_t level;
	const char *path;
	unsigned int line;
	const char *text;
} review_case_t;

/** Append the document with the first `from` replaced. */
static inline void replace_once(pr_str_t *out, const char *document,
				const char *from, const char *to)
{
	const char *at = strstr(document, from);

	if (!at)
		abort();
	pr_str_append(out, document, (size_t)(at - document));
	pr_str_append(out, to, strlen(to));
	pr_str_append(out, at + strlen(from), strlen(at + strlen(from)));
}

static inline const pr_finding_t *find_finding(const pr_findings_t *findings,
					       const char *path,
					       const char *text)
{
	for (unsigned int i = 0; i < findings->count; i++)
		if (!strcmp(findings->items[i].path, path) &&
		    strstr(findings->items[i].text, text))
			return &findings->items[i];
	return NULL;
}

/** Texts that a change may put into a document. */
static const char *const fragments[] = {
	"null",        "true",  "-1",
	"1e300",       "[]",    "{}",
	"\"\"",        "0",     "0.5",
	"\"\\u0001\"", "[[[[",  "]]",
	"4294967296",  "\"x\"", "\xc3\xa9",
	"\xff",        "&a *a", "{\"a\":{",
	"- ",          "\n",    "99999999999999999999",
	":",           ",",     "\"",
};

/** @return a random token, from one delimiter to the next; mostly a value */
static inline pr_slice_t pick_token(pr_slice_t text, pr_rand_t *rand)
{
	static const char delimiters[] = " \t\n,:[]{}";
	size_t at = pr_rand_below(rand, (uint32_t)text.len);
	size_t end;

	if (pr_rand_below(rand, 8))
		while (at < text.len && text.ptr[at] != ':')
			at++;
	while (at < text.len && strchr(delimiters, text.ptr[at]))
		at++;
	end = at;
	while (end < text.len && !strchr(delimiters, text.ptr[end]))
		end++;
	return pr_slice(text.ptr + at, end - at);
}

/** Replace a token by another one of the document, or by a fragment. */
static inline void change_token(pr_str_t *out, pr_slice_t text, pr_rand_t *rand)
{
	uint32_t which =
		pr_rand_below(rand, sizeof(fragments) / sizeof(fragments[0]));
	pr_slice_t with = pr_rand_below(rand, 2)
				  ? pick_token(text, rand)
				  : pr_slice_of(fragments[which]);
	pr_slice_t token = pick_token(text, rand);
	const char *end = token.ptr + token.len;

	pr_str_append(out, text.ptr, (size_t)(token.ptr - text.ptr));
	pr_str_append(out, with.ptr, with.len);
	pr_str_append(out, end, (size_t)(text.ptr + text.len - end));
}

/** Change, remove, repeat or cut off a few bytes. */
static inline void change_bytes(pr_str_t *out, pr_slice_t text, pr_rand_t *rand)
{
	size_t at = pr_rand_below(rand, (uint32_t)text.len);
	size_t len = 1 + pr_rand_below(rand, 40);
	char byte = (char)pr_rand_below(rand, 256);

	if (len > text.len - at)
		len = text.len - at;
	pr_str_append(out, text.ptr, at);
	switch (pr_rand_below(rand, 4)) {
	case 0:
		pr_str_append(out, &byte, 1);
		pr_str_append(out, text.ptr + at + 1, text.len - at - 1);
		break;
	case 1:
		pr_str_append(out, text.ptr + at + len, text.len - at - len);
		break;
	case 2:
		pr_str_append(out, text.ptr + at, len);
		pr_str_append(out, text.ptr + at, text.len - at);
		break;
	default:
		break;
	}
}

/** Append the document after one to four random changes. */
static inline void change_document(pr_str_t *out, const char *document,
				   pr_rand_t *rand)
{
	uint32_t count = 1 + pr_rand_below(rand, 4);

	pr_str_append(out, document, strlen(document));
	for (uint32_t i = 0; i < count && out->len; i++) {
		pr_str_t next = PR_STR_INIT;

		if (pr_rand_below(rand, 6))
			change_token(&next, pr_str_slice(out), rand);
		else
			change_bytes(&next, pr_str_slice(out), rand);
		pr_str_finish(out);
		*out = next;
	}
}

/** Seed of the random changes, printed so that a run can be repeated. */
static inline uint64_t change_seed(void)
{
	const char *text = getenv("PR_TEST_SEED");

	return text ? strtoull(text, NULL, 10) : 20261206;
}

#endif
