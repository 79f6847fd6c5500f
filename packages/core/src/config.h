#ifndef VH_CONFIG_H
#define VH_CONFIG_H

#include "core_priv.h"

/*
 * Service "config": follows the stream "config". Each VH_REC_PUBLISH names the
 * version that it was made from; it counts if that is still the version in
 * force and its set passes the check. Its offset is then the new version.
 */
struct vh_config *config_new(struct vh_core *core);
void config_free(struct vh_config *c);
struct vh_service *config_service(struct vh_config *c);
const struct vh_objects *config_objects(const struct vh_config *c);
uint64_t config_version(const struct vh_config *c);

/* Time since the node last saw the end of the stream. */
int64_t config_age_ms(const struct vh_config *c);
void config_watch(struct vh_config *c, void (*fn)(void *ctx), void *ctx);

#endif
