#ifndef VH_TEAM_LIMITS_H
#define VH_TEAM_LIMITS_H

/*
 * Reads the teams' limits from configuration files for the invariant checker.
 * Internal to the package: vh-standin-workers uses it.
 */

#include "invariant_checker.h"

/**
 * vh_team_limits_load - sets the teams' limits of the checker
 * @dir: directory of *.ini files with the objects of a configuration
 */
bool vh_team_limits_load(struct vh_checker *c, const char *dir, int64_t now_ms,
			 GError **err);

#endif
