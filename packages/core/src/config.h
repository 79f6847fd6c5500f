#ifndef VH_CONFIG_H
#define VH_CONFIG_H

/*
 * Service "config": the configuration, replayed from the stream "config".
 * Internal to the package: core_objects() and the other services of the core
 * call it; the gateway uses struct vh_config_ops instead.
 */

#include "core_priv.h"

/*
 * Each VH_REC_PUBLISH of the stream names its base version; it takes effect if
 * that is still the current version and the resulting set is valid. The offset
 * of the record then is the new version.
 */
struct vh_config *config_new(struct vh_core *core);
void config_free(struct vh_config *c);
struct vh_service *config_service(struct vh_config *c);
const struct vh_objects *config_objects(const struct vh_config *c);
uint64_t config_version(const struct vh_config *c);

/* Time since this node last saw the end of the stream; INT64_MAX: never. */
int64_t config_age_ms(const struct vh_config *c);
void config_watch(struct vh_config *c, void (*fn)(void *ctx), void *ctx);

#endif
