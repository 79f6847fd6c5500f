#include "ctl.h"

int main(int argc, char **argv)
{
	struct event_base *loop = event_base_new();
	int code;

	if (!loop) {
		fprintf(stderr, "vhctl: cannot create an event loop\n");
		return CTL_FAILED;
	}
	code = ctl_main(loop, stdout, stderr, argc, argv);
	event_base_free(loop);
	return code;
}
