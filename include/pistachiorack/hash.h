/**
 * Hashes: xxHash for placement, SHA-256 for keys, HMAC for authentication.
 */
#ifndef PISTACHIORACK_HASH_H
#define PISTACHIORACK_HASH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pistachiorack/str.h"

#define PR_SHA256_SIZE     32
#define PR_SHA256_HEX_SIZE 65

/** Fast hash for placement; not for secrets. */
uint64_t pr_hash64(const void *bytes, size_t len, uint64_t seed);

/**
 * Rendezvous (highest random weight) score of a node for a key. The node with
 * the highest score owns the key; when a node leaves only its keys move.
 * Source: Thaler and Ravishankar, 1998.
 */
uint64_t pr_rendezvous_score(pr_slice_t key, pr_slice_t node);

void pr_sha256(uint8_t out[PR_SHA256_SIZE], pr_slice_t data);
void pr_sha256_hex(char out[PR_SHA256_HEX_SIZE], pr_slice_t data);
void pr_hmac_sha256(uint8_t out[PR_SHA256_SIZE], pr_slice_t key,
		    pr_slice_t data);
/** Hexadecimal digits of a derived key, with the terminator. */
#define PR_KEY_SIZE 65
/**
 * Derive a key for one purpose from a shared secret: HMAC of the label. A key
 * that leaks, or a message that is valid for one purpose, is then of no use
 * for another.
 */
void pr_derive_key(char out[PR_KEY_SIZE], pr_slice_t secret, const char *label);
/** Compare without a data-dependent running time. */
bool pr_equal_constant_time(const void *a, const void *b, size_t len);
/** Lower-case hexadecimal; out has 2 * len + 1 bytes. */
void pr_hex(char *out, const uint8_t *bytes, size_t len);

#endif
