#include "text.h"

#include <stdio.h>

#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"

#define COUNT_BASE 12
#define COUNT_SPAN 21

int standin_text_prompt(pr_str_t *out, const json_t *messages)
{
	const json_t *message;
	size_t i;

	if (!json_is_array(messages) || !json_array_size(messages))
		return pr_error_set(PR_EPARSE, "messages is not an array");
	json_array_foreach(messages, i, message)
	{
		const char *role =
			json_string_value(json_object_get(message, "role"));
		const char *content =
			json_string_value(json_object_get(message, "content"));
		int rc;

		if (!role || !content)
			return pr_error_set(PR_EPARSE,
					    "message %zu lacks role or content",
					    i);
		rc = pr_str_appendf(out, "%s: %s\n", role, content);
		if (rc)
			return rc;
	}
	return 0;
}

uint64_t standin_text_seed(pr_slice_t version, pr_slice_t prompt)
{
	pr_str_t text = PR_STR_INIT;
	uint64_t seed;

	pr_str_append(&text, version.ptr, version.len);
	pr_str_append(&text, "\n", 1);
	pr_str_append(&text, prompt.ptr, prompt.len);
	seed = pr_hash64(pr_str_cstr(&text), text.len, 0);
	pr_str_finish(&text);
	return seed;
}

uint32_t standin_text_count(uint64_t seed, int64_t max_tokens)
{
	if (max_tokens > STANDIN_TOKENS_MAX)
		return STANDIN_TOKENS_MAX;
	if (max_tokens > 0)
		return (uint32_t)max_tokens;
	return COUNT_BASE + (uint32_t)(seed % COUNT_SPAN);
}

void standin_text_token(char out[STANDIN_TOKEN_BYTES + 1], uint64_t seed,
			uint32_t i)
{
	uint8_t bytes[8] = { 0 };

	for (int k = 0; k < 4; k++)
		bytes[k] = (uint8_t)(i >> (8 * k));
	snprintf(out, STANDIN_TOKEN_BYTES + 1, "w%08x ",
		 (uint32_t)pr_hash64(bytes, sizeof(bytes), seed));
}

int standin_text_append(pr_str_t *out, uint64_t seed, uint32_t first,
			uint32_t count)
{
	char token[STANDIN_TOKEN_BYTES + 1];
	int rc = 0;

	for (uint32_t i = first; i < count && !rc; i++) {
		standin_text_token(token, seed, i);
		rc = pr_str_append(out, token, STANDIN_TOKEN_BYTES);
	}
	return rc;
}

bool standin_text_check(pr_slice_t text, uint64_t seed, uint32_t count)
{
	char token[STANDIN_TOKEN_BYTES + 1];

	if (text.len != (size_t)count * STANDIN_TOKEN_BYTES)
		return false;
	for (uint32_t i = 0; i < count; i++) {
		standin_text_token(token, seed, i);
		if (memcmp(text.ptr + (size_t)i * STANDIN_TOKEN_BYTES, token,
			   STANDIN_TOKEN_BYTES) != 0)
			return false;
	}
	return true;
}
