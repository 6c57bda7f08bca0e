/**
 * The deterministic answer text of the engine stand-in.
 *
 * Prompt bytes: for each message in order its role, ": ", its content, "\n".
 * Seed of an answer: pr_hash64() of "<model>@<version>\n" and the prompt bytes,
 * hash seed 0. Token i (from 0) is "w" and eight lower-case hexadecimal digits
 * of the low 32 bits of pr_hash64(i as 8 bytes little-endian, hash seed = seed)
 * and one space, so a token has 10 bytes. The answer has `max_tokens` tokens
 * when given, else 12 + seed % 21. The text depends on nothing else: every
 * engine gives the same text for the same version and prompt.
 */
#ifndef STANDIN_TEXT_H
#define STANDIN_TEXT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/str.h"

#define STANDIN_TOKEN_BYTES 10
/** Longest answer, tokens. */
#define STANDIN_TOKENS_MAX 100000

/** Append the prompt bytes. @return 0, PR_EPARSE or PR_ENOMEM */
int standin_text_prompt(pr_str_t *out, const json_t *messages);
/** @param version "model@version" */
uint64_t standin_text_seed(pr_slice_t version, pr_slice_t prompt);
uint32_t standin_text_count(uint64_t seed, int64_t max_tokens);
/** Write token i and a zero byte. */
void standin_text_token(char out[STANDIN_TOKEN_BYTES + 1], uint64_t seed,
			uint32_t i);
/** Append tokens first to count - 1. @return 0 or PR_ENOMEM */
int standin_text_append(pr_str_t *out, uint64_t seed, uint32_t first,
			uint32_t count);
/** @return true when text is exactly the answer of count tokens */
bool standin_text_check(pr_slice_t text, uint64_t seed, uint32_t count);

#endif
