/* Tests of platform/: the users' names and formats, decoded once. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "platform/adapter.h"

#define UPSTREAM                                                               \
	"{\"service\":\"m\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","       \
	"\"version\":\"v1\",\"slots\":64,\"state\":\"%s\","                    \
	"\"cold-remaining-ms\":%s,\"sequence\":4%s}"

static int read_upstream(pr_upstream_entry_t *out, const char *state,
			 const char *cold, const char *more)
{
	char text[512];

	snprintf(text, sizeof(text), UPSTREAM, state, cold, more);
	return pr_adapter_upstream(out, PR_SLICE("i-1"), pr_slice_of(text));
}

static void test_upstream(void **state)
{
	pr_upstream_entry_t entry;

	assert_int_equal(read_upstream(&entry, "ready", "0", ",\"born\":77"),
			 0);
	assert_string_equal(entry.id, "i-1");
	assert_int_equal(entry.born, 77);
	assert_int_equal(entry.slots, 64);
	assert_false(entry.draining);
	assert_int_equal(read_upstream(&entry, "draining", "2500", ""), 0);
	assert_true(entry.draining);
	assert_int_equal(entry.cold_ms, 2500);
	/* An upstream may state the prompt tokens that its memory holds. */
	assert_int_equal(entry.memory_tokens, 0);
	assert_int_equal(
		read_upstream(&entry, "ready", "0", ",\"kv-capacity\":380000"),
		0);
	assert_int_equal(entry.memory_tokens, 380000);
	assert_int_equal(read_upstream(&entry, "ready", "0",
				       ",\"kv-capacity\":\"many\""),
			 0);
	assert_int_equal(entry.memory_tokens, 0);
}

/* DRAIN: without the number of the report, an entry from a copy of the store
 * can't be told from a newer one of the same instance. */
static void test_upstream_sequence(void **state)
{
	pr_upstream_entry_t entry;

	assert_int_equal(read_upstream(&entry, "ready", "0", ""), 0);
	assert_int_equal(entry.sequence, 4);
	/* The last field of a name counts. */
	assert_int_equal(read_upstream(&entry, "ready", "0",
				       ",\"sequence\":9007199254740993"),
			 0);
	assert_true(entry.sequence == 9007199254740993);
	assert_int_equal(
		read_upstream(&entry, "ready", "0", ",\"sequence\":-3"), 0);
	assert_int_equal(entry.sequence, 0);
	/* Entries of other writers name no upstream to use. */
	assert_int_not_equal(
		read_upstream(&entry, "ready", "0", ",\"sequence\":\"4\""), 0);
	assert_int_not_equal(
		read_upstream(&entry, "ready", "0", ",\"sequence\":null"), 0);
	assert_int_not_equal(
		read_upstream(&entry, "ready", "0", ",\"sequence\":4.5"), 0);
	assert_int_not_equal(
		read_upstream(&entry, "ready", "0", ",\"sequence\":1e30"), 0);
	assert_int_not_equal(
		pr_adapter_upstream(
			&entry, PR_SLICE("i"),
			PR_SLICE("{\"service\":\"m\",\"zone\":\"z\","
				 "\"address\":\"10.0.0.9:80\","
				 "\"version\":\"v1\",\"slots\":64,"
				 "\"state\":\"ready\","
				 "\"cold-remaining-ms\":0}")),
		0);
}

/* Entries of other writers name no upstream to use. */
static void test_unreadable_upstreams(void **state)
{
	pr_upstream_entry_t entry;

	assert_int_not_equal(read_upstream(&entry, "resting", "0", ""), 0);
	assert_int_not_equal(read_upstream(&entry, "ready", "\"x\"", ""), 0);
	assert_int_not_equal(
		read_upstream(&entry, "ready", "0", ",\"born\":\"late\""), 0);
	assert_int_not_equal(pr_adapter_upstream(&entry, PR_SLICE("i"),
						 PR_SLICE("\xff\xfe")),
			     0);
	assert_int_not_equal(
		pr_adapter_upstream(&entry, PR_SLICE("i"), PR_SLICE("{}")), 0);
}

static const char document[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"wide\",\"host\":\"h.example\",\"prefix\":\"/a/\","
	"\"kind\":\"safe\",\"service\":\"s1\",\"max-attempts\":2,"
	"\"timeout-ms\":1200,\"priority\":1},"
	"{\"name\":\"narrow\",\"host\":\"h.example\",\"prefix\":\"/a/b/\","
	"\"kind\":\"streaming\",\"stream-resume\":true,\"sizes\":[\"x\",\"y\"],"
	"\"traffic-split\":[{\"service\":\"s1\",\"weight\":90},"
	"{\"service\":\"s2\",\"weight\":10}],\"allowed-regions\":[\"r1\"]},"
	"{\"name\":\"once\",\"host\":\"h.example\",\"prefix\":\"/c/\","
	"\"kind\":\"unsafe\",\"service\":\"s1\",\"anonymous\":true}],"
	"\"services\":[{\"name\":\"s1\",\"max-connections\":370,"
	"\"cold-start-s\":3.5,\"cold-per-s\":12.0}],"
	"\"limits\":{\"max-header-bytes\":100,\"max-body-bytes\":200,"
	"\"header-timeout-ms\":300,\"idle-timeout-ms\":400},"
	"\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"k1\",\"k2\"],"
	"\"priority\":3},{\"name\":\"t2\",\"api-keys\":[\"k0\"]}]}";

static const char *match(const pr_routing_t *routing, const char *host,
			 const char *path)
{
	const pr_route_t *route =
		pr_routing_match(routing, pr_slice_of(host), pr_slice_of(path));

	return route ? route->name : "";
}

/* Guards against numbers whose conversion to an integer is not defined. */
static void test_numbers_out_of_range(void **state)
{
	static const char text[] =
		"{\"version\":1e300,\"services\":[{\"name\":\"s\","
		"\"cold-start-s\":-1},{\"name\":\"t\",\"cold-start-s\":1e300}],"
		"\"tenants\":[{\"name\":\"a\",\"priority\":-3},"
		"{\"name\":\"b\"}]}";
	pr_routing_t *routing;

	assert_int_equal(pr_adapter_routing(&routing, pr_slice_of(text)), 0);
	assert_int_equal(routing->version, 0);
	assert_int_equal(routing->services[0].cold_ms, 0);
	assert_int_equal(routing->services[1].cold_ms, 0);
	assert_int_equal(routing->workspaces[0].priority, 0);
	assert_int_equal(routing->workspaces[1].priority, PR_PRIORITY_UNSET);
	pr_routing_unref(routing);
}

static void test_routing_document(void **state)
{
	pr_routing_t *routing;
	const pr_route_t *narrow;

	assert_int_equal(pr_adapter_routing(&routing, pr_slice_of(document)),
			 0);
	assert_int_equal(routing->version, 7);
	assert_string_equal(match(routing, "h.example", "/a/x"), "wide");
	assert_string_equal(match(routing, "H.EXAMPLE", "/a/b/x"), "narrow");
	assert_string_equal(match(routing, "h.example", "/a"), "");
	assert_string_equal(match(routing, "other", "/a/x"), "");
	narrow = pr_routing_match(routing, PR_SLICE("h.example"),
				  PR_SLICE("/a/b/"));
	assert_int_equal(narrow->kind, PR_CALL_STREAM);
	assert_true(narrow->resumable);
	assert_int_equal(narrow->models.count, 2);
	assert_false(pr_names_allow(&narrow->regions, "r2"));
	assert_string_equal(pr_route_pick_service(narrow, 89), "s1");
	assert_string_equal(pr_route_pick_service(narrow, 90), "s2");
	assert_int_equal(pr_routing_service(routing, "s1")->cold_ms, 3500);
	assert_string_equal(pr_routing_workspace(routing, PR_SLICE("k2"))->name,
			    "t1");
	assert_string_equal(pr_routing_workspace(routing, PR_SLICE("k0"))->name,
			    "t2");
	assert_null(pr_routing_workspace(routing, PR_SLICE("k")));
	assert_null(pr_routing_workspace(routing, PR_SLICE("k11")));
	assert_null(pr_routing_workspace(routing, PR_SLICE("")));
	assert_int_equal(routing->limits.idle_ms, 400);
	pr_routing_unref(routing);
}

static void test_prompt_parts(void **state)
{
	pr_prompt_t a, b;

	pr_adapter_prompt(&a, PR_SLICE("1460,80"), PR_SLICE("33"),
			  PR_SLICE("5c1e:800,91bd:410,e440:250"));
	pr_adapter_prompt(&b, PR_SLICE("1460,80"), PR_SLICE(""),
			  PR_SLICE("5c1e:800,91bd:410,ffff:250"));
	assert_int_equal(a.output_expected, 33);
	assert_int_equal(b.output_expected, 80);
	assert_int_equal(a.tokens, 1460);
	assert_int_equal(a.output_max, 80);
	assert_int_equal(a.shared_tokens, 1210);
	/* The last part is the request's own. */
	assert_true(a.shared_hash && a.shared_hash == b.shared_hash);
	assert_int_equal(a.parts_count, 2);
	assert_int_equal(a.parts[0], 0x5c1e);
	assert_int_equal(a.parts[1], 0x91bd);
	assert_int_equal(a.own_part, 0xe440);
	pr_prompt_finish(&a);
	pr_prompt_finish(&b);
	pr_adapter_prompt(&a, PR_SLICE(""), PR_SLICE(""), PR_SLICE("5c1e:800"));
	assert_true(!a.parts_count && a.own_part == 0x5c1e);
	pr_prompt_finish(&a);
	pr_adapter_prompt(&a, PR_SLICE(""), PR_SLICE(""), PR_SLICE(""));
	assert_true(!a.tokens && !a.shared_hash);
	pr_prompt_finish(&a);
	pr_adapter_prompt(&a, PR_SLICE("x"), PR_SLICE("-1"), PR_SLICE(",,:,"));
	assert_int_equal(a.tokens, 0);
	pr_prompt_finish(&a);
}

/* Guards against prefixes that differ between hosts, and against prompts that
 * share their first parts without a prefix in common (load: many requests with
 * one system prompt). */
static void test_prompt_prefixes(void **state)
{
	pr_prompt_t a, b;

	pr_adapter_prompt(&a, PR_SLICE("1460,80"), PR_SLICE(""),
			  PR_SLICE("5c1e:800,91bd:410,e440:250"));
	pr_adapter_prompt(&b, PR_SLICE("1460,80"), PR_SLICE(""),
			  PR_SLICE("5c1e:800, 91bd:411, e440:250"));
	assert_int_equal(a.prefixes.count, 3);
	assert_int_equal(a.prefixes.items[0].tokens, 800);
	assert_int_equal(a.prefixes.items[1].tokens, 1210);
	assert_int_equal(a.prefixes.items[2].tokens, 1460);
	assert_true(a.prefixes.items[1].hash == a.shared_hash);
	assert_true(a.prefixes.items[0].hash == b.prefixes.items[0].hash);
	/* What follows a part that differs, differs as well. */
	assert_true(a.prefixes.items[1].hash != b.prefixes.items[1].hash);
	assert_true(a.prefixes.items[2].hash != b.prefixes.items[2].hash);
	pr_prompt_finish(&a);
	pr_prompt_finish(&b);
	pr_adapter_prompt(&a, PR_SLICE(""), PR_SLICE(""), PR_SLICE(",x,:"));
	assert_int_equal(a.prefixes.count, 0);
	pr_prompt_finish(&a);
}

#define LONG_PROMPT_PARTS 1500

/* BUDGET: a part behind the 32nd of a prompt, or behind one that cannot be
 * read, was not known and crashed upstreams again and again. */
static void test_all_parts_of_a_long_prompt(void **state)
{
	pr_str_t list = PR_STR_INIT;
	pr_prompt_t prompt;

	for (int i = 0; i < LONG_PROMPT_PARTS; i++)
		assert_int_equal(pr_str_appendf(&list, "%x:40,", 0x1000 + i),
				 0);
	assert_int_equal(pr_str_appendf(&list, "no size, dead01:40 , own:1"),
			 0);
	assert_int_equal(pr_adapter_prompt(&prompt, PR_SLICE("9,9"),
					   PR_SLICE(""), pr_str_slice(&list)),
			 0);
	assert_int_equal(prompt.parts_count, LONG_PROMPT_PARTS + 1);
	for (int i = 0; i < LONG_PROMPT_PARTS; i++)
		assert_int_equal(prompt.parts[i], 0x1000 + i);
	assert_int_equal(prompt.parts[LONG_PROMPT_PARTS], 0xdead01);
	assert_int_equal(prompt.prefixes.depth, LONG_PROMPT_PARTS + 2);
	assert_true(prompt.prefixes.count <= PR_KEPT_PREFIXES_MAX);
	assert_int_equal(prompt.shared_tokens, 40 * (LONG_PROMPT_PARTS + 1));
	pr_prompt_finish(&prompt);
	pr_str_finish(&list);
}

/* What a caller sends in the router's own fields must not reach an upstream. */
static void test_reserved_fields(void **state)
{
	static const char *const names[] = {
		"X-Pistachiorack-Hold",
		"X-Pistachiorack-Pin-Ms",
		"X-Pistachiorack-Kv-Backup",
		"kv-from",
		"KV-FETCH",
		"X-Pistachiorack-Expect-Version",
	};

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		assert_int_equal(pr_adapter_field(pr_slice_of(names[i])),
				 PR_FIELD_RESERVED);
	assert_int_equal(pr_adapter_field(PR_SLICE("transfer-encoding")),
			 PR_FIELD_HOP);
	assert_int_equal(pr_adapter_field(PR_SLICE("server-leaving")),
			 PR_FIELD_LEAVING);
	assert_int_equal(pr_adapter_field(PR_SLICE("server-limit")),
			 PR_FIELD_STATED_RATE);
	assert_int_equal(pr_adapter_field(PR_SLICE("Accept")), PR_FIELD_OTHER);
}

static void test_orders(void **state)
{
	pr_rollout_order_t order;
	pr_slice_t subject;

	assert_int_equal(pr_adapter_order(PR_SLICE("config"), &subject),
			 PR_ORDER_ROUTING);
	assert_int_equal(pr_adapter_order(PR_SLICE("rollout/m"), &subject),
			 PR_ORDER_ROLLOUT);
	assert_true(pr_slice_equal(subject, PR_SLICE("m")));
	assert_int_equal(pr_adapter_order(PR_SLICE("evacuate/z"), &subject),
			 PR_ORDER_EVACUATION);
	assert_int_equal(pr_adapter_order(PR_SLICE("other"), &subject),
			 PR_ORDER_UNKNOWN);
	assert_int_equal(pr_adapter_rollout(
				 &order, PR_SLICE("{\"service\":\"m\",\"to\":"
						  "\"v2\",\"duration-s\":12}")),
			 0);
	assert_int_equal(order.duration_ms, 12000);
	assert_int_not_equal(pr_adapter_rollout(&order, PR_SLICE("{}")), 0);
}

static void test_rollout_status(void **state)
{
	static const char *const words[] = { "running", "done", "rolled_back" };

	for (int i = 0; i < 3; i++) {
		pr_str_t key = PR_STR_INIT, text = PR_STR_INIT;

		assert_int_equal(
			pr_adapter_rollout_status(&key, &text, "m", "v2",
						  (pr_rollout_state_t)i),
			0);
		assert_string_equal(pr_str_cstr(&key), "rollout/m");
		assert_non_null(strstr(pr_str_cstr(&text), words[i]));
		pr_str_finish(&key);
		pr_str_finish(&text);
	}
}

static void test_store_rows(void **state)
{
	pr_store_rows_t rows;

	assert_int_equal(
		pr_adapter_store_rows(
			&rows, 0,
			PR_SLICE("{\"rows\":[{\"table\":\"t\",\"part\":\"\","
				 "\"key\":\"a\",\"value\":\"bm9kZS0x\","
				 "\"ver\":412},{\"key\":\"b\",\"ver\":413,"
				 "\"tombstone\":true}],\"more-pages\":true,"
				 "\"ver\":530,\"now-ms\":51230}")),
		0);
	assert_int_equal(rows.count, 2);
	assert_string_equal(pr_str_cstr(&rows.rows[0].value), "node-1");
	assert_true(rows.rows[1].removed && rows.more);
	assert_int_equal(rows.version.number, 530);
	assert_int_equal(rows.now_ms, 51230);
	pr_store_rows_finish(&rows);
	assert_int_not_equal(pr_adapter_store_rows(&rows, 0, PR_SLICE("oops")),
			     0);
}

/* Guards against hosts that no longer follow a table, since one key in it has a
 * NUL character or is no text. */
static void test_row_with_odd_key_is_left_out(void **state)
{
	pr_store_rows_t rows;

	assert_int_equal(
		pr_adapter_store_rows(
			&rows, 0,
			PR_SLICE("{\"rows\":[{\"key\":\"a\\u0000b\","
				 "\"value\":\"bm9kZS0x\",\"ver\":3},"
				 "{\"key\":7,\"ver\":4},"
				 "{\"key\":\"c\",\"value\":\"bm9kZS0x\","
				 "\"ver\":5}],\"ver\":5,\"now-ms\":7}")),
		0);
	assert_int_equal(rows.count, 1);
	assert_int_equal(rows.unreadable, 2);
	assert_string_equal(rows.rows[0].key, "c");
	assert_int_equal(rows.version.number, 5);
	pr_store_rows_finish(&rows);
}

static void test_store_write(void **state)
{
	char long_value[200];
	pr_store_write_t writes[] = {
		{ PR_TABLE_SHARED, "a", PR_SLICE("node-1"), true, { 0, 0 } },
		{ PR_TABLE_SHARED,
		  "b",
		  { long_value, sizeof(long_value) },
		  false,
		  { 0, 0 } },
	};
	pr_str_t out = PR_STR_INIT;

	memset(long_value, 'x', sizeof(long_value));
	assert_int_equal(pr_adapter_store_write(&out, writes, 2), 0);
	assert_non_null(strstr(pr_str_cstr(&out), "\"value\":\"bm9kZS0x\""));
	assert_non_null(strstr(pr_str_cstr(&out),
			       "\"expected-rev\":[{\"table\":\"status\","
			       "\"part\":\"\",\"key\":\"a\",\"ver\":0}]"));
	/* The encoder's line breaks must not reach the document. */
	assert_null(strstr(strstr(pr_str_cstr(&out), "\r\n\r\n") + 4, "\\n"));
	pr_str_finish(&out);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_upstream),
		cmocka_unit_test(test_upstream_sequence),
		cmocka_unit_test(test_unreadable_upstreams),
		cmocka_unit_test(test_routing_document),
		cmocka_unit_test(test_numbers_out_of_range),
		cmocka_unit_test(test_prompt_parts),
		cmocka_unit_test(test_prompt_prefixes),
		cmocka_unit_test(test_all_parts_of_a_long_prompt),
		cmocka_unit_test(test_reserved_fields),
		cmocka_unit_test(test_orders),
		cmocka_unit_test(test_rollout_status),
		cmocka_unit_test(test_store_rows),
		cmocka_unit_test(test_row_with_odd_key_is_left_out),
		cmocka_unit_test(test_store_write),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
