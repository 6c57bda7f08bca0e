/* The report as text, JSON and HTML. */
#include <jansson.h>
#include <stdlib.h>

#include "burn/burn_program.h"
#include "pistachiorack/error.h"

#define PLOT_WIDTH  180
#define PLOT_HEIGHT 36
/* Burn at the top of a plot. */
#define PLOT_TOP 20.0

static const char *const window_names[PR_BURN_WINDOWS] = { "5m", "1h", "6h",
							   "3d" };

static const pr_burn_format_t formats[] = {
	{ "text", pr_burn_print_text },
	{ "json", pr_burn_print_json },
	{ "html", pr_burn_print_html },
};

const pr_burn_format_t *pr_burn_format_find(const char *name)
{
	for (size_t i = 0; i < sizeof(formats) / sizeof(formats[0]); i++)
		if (!strcmp(formats[i].name, name))
			return &formats[i];
	return NULL;
}

const char *pr_alert_name(pr_alert_t alert)
{
	static const char *const names[] = { "-", "ticket", "page" };

	return names[alert];
}

int pr_burn_print_text(pr_str_t *out, const pr_burn_t *burn, pr_usec_t now,
		       double objective)
{
	double allowed = 1 - objective;
	int rc = pr_str_appendf(out, "%-16s %-15s %8s %8s %8s %8s %-7s %s\n",
				"WORKSPACE", "OBJECTIVE", "5m", "1h", "6h",
				"3d", "ALERT", "LARGEST CAUSE");

	for (unsigned int i = 0; i < burn->count && !rc; i++) {
		const pr_burn_series_t *series = &burn->series[i];
		const pr_burn_cause_t *largest = &series->causes[0];

		for (int c = 1; c < PR_BURN_CAUSES; c++)
			if (series->causes[c].bad > largest->bad)
				largest = &series->causes[c];
		rc = pr_str_appendf(out, "%-16s %-15s", series->workspace,
				    pr_objective_name(series->objective));
		for (int w = 0; w < PR_BURN_WINDOWS && !rc; w++)
			rc = pr_str_appendf(
				out, " %8.2f",
				pr_burn_rate(series, w, now, allowed));
		if (!rc)
			rc = pr_str_appendf(out, " %-7s %s\n",
					    pr_alert_name(pr_burn_alert(
						    series, now, allowed)),
					    largest->name);
	}
	return rc;
}

static json_t *series_json(const pr_burn_series_t *series, pr_usec_t now,
			   double allowed)
{
	json_t *burn = json_object();
	json_t *causes = json_object();

	for (int w = 0; w < PR_BURN_WINDOWS; w++)
		json_object_set_new(
			burn, window_names[w],
			json_real(pr_burn_rate(series, w, now, allowed)));
	for (int c = 0; c < PR_BURN_CAUSES; c++)
		if (series->causes[c].bad)
			json_object_set_new(
				causes, series->causes[c].name,
				json_integer(series->causes[c].bad));
	return json_pack(
		"{s:s, s:s, s:o, s:s, s:o}", "workspace", series->workspace,
		"objective", pr_objective_name(series->objective), "burn", burn,
		"alert", pr_alert_name(pr_burn_alert(series, now, allowed)),
		"causes", causes);
}

int pr_burn_print_json(pr_str_t *out, const pr_burn_t *burn, pr_usec_t now,
		       double objective)
{
	json_t *list = json_array();
	char *text;
	int rc = PR_ENOMEM;

	for (unsigned int i = 0; i < burn->count; i++)
		json_array_append_new(list, series_json(&burn->series[i], now,
							1 - objective));
	text = json_dumps(list, JSON_INDENT(1));
	if (text)
		rc = pr_str_appendf(out, "%s\n", text);
	free(text);
	json_decref(list);
	return rc;
}

static int append_escaped(pr_str_t *out, const char *text)
{
	int rc = 0;

	for (; *text && !rc; text++) {
		if (*text == '<')
			rc = pr_str_appendf(out, "&lt;");
		else if (*text == '&')
			rc = pr_str_appendf(out, "&amp;");
		else
			rc = pr_str_append(out, text, 1);
	}
	return rc;
}

/* One bar per slot of a window, oldest left. */
static int append_plot(pr_str_t *out, const pr_burn_series_t *series,
		       int window, double allowed)
{
	const pr_burn_window_t *ring = &series->windows[window];
	double step = (double)PLOT_WIDTH / PR_BURN_SLOTS;
	int rc = pr_str_appendf(out, "<svg width=%d height=%d>", PLOT_WIDTH,
				PLOT_HEIGHT);

	for (int age = 0; age < PR_BURN_SLOTS && !rc; age++) {
		int64_t number = ring->newest - age;
		const pr_burn_slot_t *slot;
		double burn, height;

		if (number < 0)
			break;
		slot = &ring->slots[number % PR_BURN_SLOTS];
		if (!slot->bad)
			continue;
		burn = slot->bad / (double)(slot->good + slot->bad) / allowed;
		height = burn / PLOT_TOP * PLOT_HEIGHT;
		if (height > PLOT_HEIGHT)
			height = PLOT_HEIGHT;
		rc = pr_str_appendf(
			out,
			"<rect x=%.1f y=%.1f width=%.1f height=%.1f "
			"fill='%s'/>",
			PLOT_WIDTH - (age + 1) * step, PLOT_HEIGHT - height,
			step - 1, height, burn > 1 ? "#c0392b" : "#e0a030");
	}
	if (!rc)
		rc = pr_str_appendf(out, "</svg>");
	return rc;
}

static int append_row(pr_str_t *out, const pr_burn_series_t *series,
		      pr_usec_t now, double allowed)
{
	pr_alert_t alert = pr_burn_alert(series, now, allowed);
	int rc = pr_str_appendf(out, "<tr class=%s><td>",
				alert ? pr_alert_name(alert) : "ok");

	if (!rc)
		rc = append_escaped(out, series->workspace);
	if (!rc)
		rc = pr_str_appendf(out, "<td>%s<td>%s",
				    pr_objective_name(series->objective),
				    pr_alert_name(alert));
	for (int w = 0; w < PR_BURN_WINDOWS && !rc; w++) {
		rc = pr_str_appendf(out, "<td>%.2f<br>",
				    pr_burn_rate(series, w, now, allowed));
		if (!rc)
			rc = append_plot(out, series, w, allowed);
	}
	if (!rc)
		rc = pr_str_appendf(out, "<td>");
	for (int c = 0; c < PR_BURN_CAUSES && !rc; c++) {
		if (!series->causes[c].bad)
			continue;
		rc = pr_str_appendf(out, "%u ", series->causes[c].bad);
		if (!rc)
			rc = append_escaped(out, series->causes[c].name);
		if (!rc)
			rc = pr_str_appendf(out, "<br>");
	}
	return rc ? rc : pr_str_appendf(out, "</tr>\n");
}

int pr_burn_print_html(pr_str_t *out, const pr_burn_t *burn, pr_usec_t now,
		       double objective)
{
	static const char head[] =
		"<!doctype html><meta charset=utf-8>"
		"<title>Service-level burn</title><style>"
		"body{font:14px sans-serif;margin:2em}"
		"table{border-collapse:collapse}"
		"td,th{border:1px solid #ccc;padding:4px 8px;text-align:left}"
		".page{background:#fde}.ticket{background:#ffd}"
		"svg{background:#f4f4f4}</style><h1>Service-level burn</h1>";
	int rc = pr_str_append(out, head, sizeof(head) - 1);

	if (!rc)
		rc = pr_str_appendf(
			out,
			"<p>Objective %.3f. Burn 1 uses up the budget exactly; "
			"plots end at burn %.0f, newest on the right.</p>"
			"<table><tr><th>workspace<th>objective<th>alert<th>5m"
			"<th>1h<th>6h<th>3d<th>causes</tr>\n",
			objective, PLOT_TOP);
	for (unsigned int i = 0; i < burn->count && !rc; i++)
		rc = append_row(out, &burn->series[i], now, 1 - objective);
	return rc ? rc : pr_str_appendf(out, "</table>\n");
}
