#ifndef CELL_PAGE_CURSOR_H
#define CELL_PAGE_CURSOR_H

/*
 * Where the next page of a snapshot starts. A topic may have other writers, whose
 * keys may be no text, so that the store's name of a key is not always known. Internal
 * to the package; called by topic_reader.c.
 */

#include "vh/ports.h"

/**
 * struct page_cursor - position in a snapshot of a topic
 * @after: key after which the page starts that is read now; NULL: the first page
 * @others: further keys after which it may start, the best first
 * @used: keys after which a page of this snapshot was asked for, so that no page is
 *	  read twice and the reading ends
 *
 * All keys are GBytes.
 */
struct page_cursor {
	GBytes *after;
	GPtrArray *others;
	GHashTable *used;
};

void page_cursor_init(struct page_cursor *c);
void page_cursor_finish(struct page_cursor *c);

/* page_cursor_reset - back to the first page */
void page_cursor_reset(struct page_cursor *c);

/* page_cursor_after - the key; empty for the first page */
struct vh_slice page_cursor_after(const struct page_cursor *c);

/**
 * page_cursor_advance - goes on after a page that is not the last
 *
 * Returns false if the page has no key after which no page was asked for yet.
 */
bool page_cursor_advance(struct page_cursor *c,
			 const struct vh_read_reply *page);

/**
 * page_cursor_try_other - the store starts no page after the present key; takes
 *			   another key of the same page
 *
 * Returns false if there is none.
 */
bool page_cursor_try_other(struct page_cursor *c);

/* page_cursor_skips - whether the present key is a guess, so that records before the
 * page may be left out */
bool page_cursor_skips(const struct page_cursor *c);

#endif
