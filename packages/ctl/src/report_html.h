#ifndef REPORT_HTML_H
#define REPORT_HTML_H

/*
 * Formats the collected data of vhctl report as HTML. Internal to the package;
 * called by cmd_report.c.
 */

#include "report_data.h"
#include "vh/buf.h"

/* report_html - appends the report as one HTML file without outside parts */
void report_html(const struct report *r, struct vh_buf *out);

#endif
