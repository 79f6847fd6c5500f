#ifndef CELL_TESTS_STORE_FAULTS_H
#define CELL_TESTS_STORE_FAULTS_H

/*
 * Faults of the simulated store, for each topic, and for reads and writes
 * separately. Included by fake_cluster.h.
 */

extern "C" {
#include "vh/ports.h"
}

namespace fake
{

enum class Fault {
	NONE,
	SLOW,	    /* carried out when sent, answered after delay_ms */
	REFUSED,    /* answered so, without effect */
	SILENT,	    /* neither carried out nor answered */
	ANSWER_LOST /* carried out, not answered */
};

struct TopicFault {
	Fault kind = Fault::NONE;
	int64_t delay_ms = 0;
};

struct StoreFaults {
	TopicFault reads[VH_TOPIC_COUNT];
	TopicFault writes[VH_TOPIC_COUNT];

	void clear()
	{
		*this = StoreFaults();
	}
};

} // namespace fake

#endif
