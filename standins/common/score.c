#include "score.h"

#include <stdio.h>

#include "pistachiorack/hash.h"

static const char *text_of(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "";
}

static double quality_of(const json_t *quality, double fallback,
			 const json_t *asked)
{
	char name[256];
	char with_class[512];
	const json_t *value;

	snprintf(name, sizeof(name), "%s@%s", text_of(asked, "model"),
		 text_of(asked, "version"));
	snprintf(with_class, sizeof(with_class), "%s/%s",
		 text_of(asked, "class"), name);
	value = json_object_get(quality, with_class);
	if (!value)
		value = json_object_get(quality, name);
	return value ? json_number_value(value) : fallback;
}

double score_draw(const json_t *quality, double fallback, uint64_t seed,
		  const json_t *asked)
{
	pr_slice_t request = pr_slice_of(text_of(asked, "request"));
	pr_slice_t version = pr_slice_of(text_of(asked, "version"));
	uint64_t draw =
		pr_hash64(request.ptr, request.len,
			  seed ^ pr_hash64(version.ptr, version.len, 0));
	double unit = (double)(draw >> 11) / (double)(1ULL << 53);

	return unit < quality_of(quality, fallback, asked) ? 1.0 : 0.0;
}
