/* Cryptographic hashes by OpenSSL. */
#include "pistachiorack/hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

void pr_sha256(uint8_t out[PR_SHA256_SIZE], pr_slice_t data)
{
	unsigned int len = 0;

	EVP_Digest(data.ptr, data.len, out, &len, EVP_sha256(), NULL);
}

void pr_hex(char *out, const uint8_t *bytes, size_t len)
{
	static const char digits[] = "0123456789abcdef";

	for (size_t i = 0; i < len; i++) {
		out[2 * i] = digits[bytes[i] >> 4];
		out[2 * i + 1] = digits[bytes[i] & 15];
	}
	out[2 * len] = '\0';
}

void pr_sha256_hex(char out[PR_SHA256_HEX_SIZE], pr_slice_t data)
{
	uint8_t digest[PR_SHA256_SIZE];

	pr_sha256(digest, data);
	pr_hex(out, digest, sizeof(digest));
}

void pr_hmac_sha256(uint8_t out[PR_SHA256_SIZE], pr_slice_t key,
		    pr_slice_t data)
{
	unsigned int len = 0;

	HMAC(EVP_sha256(), key.ptr, (int)key.len,
	     (const unsigned char *)data.ptr, data.len, out, &len);
}

bool pr_equal_constant_time(const void *a, const void *b, size_t len)
{
	return CRYPTO_memcmp(a, b, len) == 0;
}

void pr_derive_key(char out[PR_KEY_SIZE], pr_slice_t secret, const char *label)
{
	uint8_t mac[PR_SHA256_SIZE];

	pr_hmac_sha256(mac, secret, pr_slice_of(label));
	pr_hex(out, mac, sizeof(mac));
}
