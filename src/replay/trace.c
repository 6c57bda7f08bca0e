/* Reading and writing of traces; docs/traces.md describes the lines. */
#include "replay/replay.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "pistachiorack/error.h"

static const char *const kind_names[RP_KINDS] = {
	"good", "subtle", "sudden", "slow", "workspace", "late", "initial"
};

int rp_find(const char (*names)[RP_NAME], size_t count, const char *name)
{
	for (size_t i = 0; i < count; i++)
		if (!strcmp(names[i], name))
			return (int)i;
	return -1;
}

int rp_find_version(const rp_trace_t *trace, const char *model,
		    const char *name)
{
	for (size_t i = 0; i < trace->versions_count; i++)
		if (!strcmp(trace->versions[i].name, name) &&
		    !strcmp(trace->versions[i].model, model))
			return (int)i;
	return -1;
}

void rp_trace_free(rp_trace_t *trace)
{
	free(trace->requests);
	trace->requests = NULL;
	trace->requests_count = trace->requests_max = 0;
}

int rp_trace_add(rp_trace_t *trace, const rp_request_t *request)
{
	if (trace->requests_count == trace->requests_max) {
		size_t max =
			trace->requests_max ? 2 * trace->requests_max : 1024;
		rp_request_t *grown =
			realloc(trace->requests, max * sizeof(*grown));

		if (!grown)
			return pr_error_set(PR_ENOMEM, "no memory for a trace");
		trace->requests = grown;
		trace->requests_max = max;
	}
	trace->requests[trace->requests_count++] = *request;
	return 0;
}

void rp_trace_write(const rp_trace_t *t, FILE *out)
{
	fprintf(out, "trace 1 %s %llu hosts %u exposure %u target %.3f\n",
		t->deployment, (unsigned long long)t->seed, t->hosts,
		t->exposure_per_s, t->target);
	for (size_t i = 0; i < t->zones_count; i++)
		fprintf(out, "zone %s\n", t->zones[i]);
	for (size_t i = 0; i < t->classes_count; i++)
		fprintf(out, "class %s\n", t->classes[i]);
	for (size_t i = 0; i < t->workspaces_count; i++)
		fprintf(out, "workspace %s\n", t->workspaces[i]);
	for (size_t i = 0; i < t->versions_count; i++) {
		const rp_version_t *v = &t->versions[i];

		fprintf(out, "version %s %s %s %u %u %.3f %d %.1f %s\n",
			v->model, v->name, v->replaces[0] ? v->replaces : "-",
			v->price_in, v->price_out, v->answer_s, v->confidence,
			v->roll_s, kind_names[v->kind]);
		for (size_t c = 0; c < t->classes_count; c++)
			fprintf(out, "quality %s %s %s %.4f\n", v->model,
				v->name, t->classes[c], v->quality[c]);
	}
	for (size_t i = 0; i < t->shifts_count; i++) {
		const rp_shift_t *s = &t->shifts[i];
		const rp_version_t *v = &t->versions[s->version];

		fprintf(out, "shift %.1f %s %s %s %s %.4f %.1f\n", s->at_s,
			v->model, v->name,
			s->request_class < 0 ? "*"
					     : t->classes[s->request_class],
			s->workspace < 0 ? "*" : t->workspaces[s->workspace],
			s->delta, s->over_s);
	}
	for (size_t i = 0; i < t->requests_count; i++) {
		const rp_request_t *r = &t->requests[i];

		fprintf(out, "request %.3f %s %s %s %d %u %u %u %.5f\n",
			r->at_s, t->zones[r->zone], t->workspaces[r->workspace],
			t->classes[r->request_class], r->stream, r->session,
			r->tokens_in, r->tokens_out, (double)r->difficulty);
	}
}

static bool read_name(char (*names)[RP_NAME], size_t *count, size_t max,
		      const char *line, const char *format)
{
	return *count < max && sscanf(line, format, names[*count]) == 1 &&
	       ++*count;
}

static bool read_version(rp_trace_t *t, const char *line)
{
	rp_version_t *v = &t->versions[t->versions_count];
	char kind[RP_NAME];
	int confidence;

	if (t->versions_count == RP_VERSIONS)
		return false;
	memset(v, 0, sizeof(*v));
	if (sscanf(line, "version %31s %31s %31s %u %u %lf %d %lf %31s",
		   v->model, v->name, v->replaces, &v->price_in, &v->price_out,
		   &v->answer_s, &confidence, &v->roll_s, kind) != 9)
		return false;
	if (!strcmp(v->replaces, "-"))
		v->replaces[0] = '\0';
	v->confidence = confidence;
	v->state = v->roll_s < 0 ? PR_VERSION_PROVEN : PR_VERSION_HALTED;
	v->kind = RP_INITIAL;
	for (int k = 0; k < RP_KINDS; k++)
		if (!strcmp(kind, kind_names[k]))
			v->kind = (rp_kind_t)k;
	t->versions_count++;
	return true;
}

static bool read_quality(rp_trace_t *t, const char *line)
{
	char model[RP_NAME], name[RP_NAME], class_name[RP_NAME];
	double quality;
	int version, c;

	if (sscanf(line, "quality %31s %31s %31s %lf", model, name, class_name,
		   &quality) != 4)
		return false;
	version = rp_find_version(t, model, name);
	c = rp_find(t->classes, t->classes_count, class_name);
	if (version < 0 || c < 0)
		return false;
	t->versions[version].quality[c] = quality;
	return true;
}

static bool read_shift(rp_trace_t *t, const char *line)
{
	char model[RP_NAME], name[RP_NAME], c[RP_NAME], w[RP_NAME];
	rp_shift_t *s = &t->shifts[t->shifts_count];

	if (t->shifts_count == RP_SHIFTS ||
	    sscanf(line, "shift %lf %31s %31s %31s %31s %lf %lf", &s->at_s,
		   model, name, c, w, &s->delta, &s->over_s) != 7)
		return false;
	s->version = rp_find_version(t, model, name);
	s->request_class = rp_find(t->classes, t->classes_count, c);
	s->workspace = rp_find(t->workspaces, t->workspaces_count, w);
	if (s->version < 0 || (s->request_class < 0 && strcmp(c, "*") != 0) ||
	    (s->workspace < 0 && strcmp(w, "*") != 0))
		return false;
	t->shifts_count++;
	return true;
}

static bool read_request(rp_trace_t *t, const char *line)
{
	char zone[RP_NAME], workspace[RP_NAME], class_name[RP_NAME];
	rp_request_t r = { .at_s = 0 };
	int stream, z, w, c;

	if (sscanf(line, "request %lf %31s %31s %31s %d %u %u %u %f", &r.at_s,
		   zone, workspace, class_name, &stream, &r.session,
		   &r.tokens_in, &r.tokens_out, &r.difficulty) != 9)
		return false;
	z = rp_find(t->zones, t->zones_count, zone);
	w = rp_find(t->workspaces, t->workspaces_count, workspace);
	c = rp_find(t->classes, t->classes_count, class_name);
	if (z < 0 || w < 0 || c < 0 ||
	    (t->requests_count &&
	     r.at_s < t->requests[t->requests_count - 1].at_s))
		return false;
	r.stream = stream;
	r.zone = (uint8_t)z;
	r.workspace = (uint8_t)w;
	r.request_class = (uint8_t)c;
	return rp_trace_add(t, &r) == 0;
}

static bool read_line(rp_trace_t *t, const char *line)
{
	unsigned long long seed;

	if (line[0] == '#' || line[0] == '\n')
		return true;
	if (!strncmp(line, "request ", 8))
		return read_request(t, line);
	if (!strncmp(line, "version ", 8))
		return read_version(t, line);
	if (!strncmp(line, "quality ", 8))
		return read_quality(t, line);
	if (!strncmp(line, "shift ", 6))
		return read_shift(t, line);
	if (!strncmp(line, "zone ", 5))
		return read_name(t->zones, &t->zones_count, RP_ZONES, line,
				 "zone %31s");
	if (!strncmp(line, "class ", 6))
		return read_name(t->classes, &t->classes_count, RP_CLASSES,
				 line, "class %31s");
	if (!strncmp(line, "workspace ", 10))
		return read_name(t->workspaces, &t->workspaces_count,
				 RP_WORKSPACES, line, "workspace %31s");
	if (sscanf(line, "trace 1 %31s %llu hosts %u exposure %u target %lf",
		   t->deployment, &seed, &t->hosts, &t->exposure_per_s,
		   &t->target) != 5)
		return false;
	t->seed = seed;
	return t->hosts > 0 && t->hosts <= RP_HOSTS;
}

int rp_trace_read(rp_trace_t *trace, const char *name)
{
	FILE *file = fopen(name, "r");
	char line[512];
	int err = 0;

	*trace = (rp_trace_t){ .hosts = 0 };
	if (!file)
		return pr_error_set(PR_EIO, "%s: %s", name, strerror(errno));
	for (int number = 1; !err && fgets(line, sizeof(line), file); number++)
		if (!read_line(trace, line))
			err = pr_error_set(PR_EPARSE, "%s:%d: bad line: %.80s",
					   name, number, line);
	fclose(file);
	if (!err && (!trace->hosts || !trace->requests_count ||
		     !trace->versions_count || !trace->workspaces_count))
		err = pr_error_set(PR_EPARSE,
				   "%s: no header, versions, workspaces or "
				   "requests",
				   name);
	if (err)
		rp_trace_free(trace);
	return err;
}
