#ifndef VH_TEAM_LIMITS_H
#define VH_TEAM_LIMITS_H

#include "invariant_checker.h"

/**
 * vh_team_limits_load - sets the teams' limits of the checker
 * @dir: directory of *.ini files with the objects of a configuration
 */
bool vh_team_limits_load(struct vh_checker *c, const char *dir, int64_t now_ms,
			 GError **err);

#endif
