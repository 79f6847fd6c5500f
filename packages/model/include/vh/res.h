#ifndef VH_RES_H
#define VH_RES_H

#include <stdbool.h>
#include <stdint.h>

/**
 * enum vh_dim - the dimensions of a worker's capacity
 * @VH_CPU: thousandths of a processor
 * @VH_MEM: mebibytes
 * @VH_ACCEL: whole accelerators
 * @VH_SLOTS: request slots
 * @VH_CONNS: connections
 */
enum vh_dim {
	VH_CPU,
	VH_MEM,
	VH_ACCEL,
	VH_SLOTS,
	VH_CONNS,
	VH_DIM_COUNT
};

/**
 * struct vh_res - an amount in every dimension
 * @v: indexed by enum vh_dim
 */
struct vh_res {
	uint32_t v[VH_DIM_COUNT];
};

#define VH_RES_UNLIMITED UINT32_MAX

static inline bool vh_res_fits(const struct vh_res *want,
			       const struct vh_res *free)
{
	for (int d = 0; d < VH_DIM_COUNT; d++) {
		if (want->v[d] > free->v[d])
			return false;
	}
	return true;
}

/* vh_res_add - saturates at UINT32_MAX */
static inline void vh_res_add(struct vh_res *to, const struct vh_res *amount)
{
	for (int d = 0; d < VH_DIM_COUNT; d++) {
		uint64_t sum = (uint64_t)to->v[d] + amount->v[d];

		to->v[d] = sum > UINT32_MAX ? UINT32_MAX : (uint32_t)sum;
	}
}

/* vh_res_sub - false, and stops at 0, where @amount exceeds @from */
static inline bool vh_res_sub(struct vh_res *from, const struct vh_res *amount)
{
	bool ok = true;

	for (int d = 0; d < VH_DIM_COUNT; d++) {
		if (amount->v[d] > from->v[d]) {
			from->v[d] = 0;
			ok = false;
		} else {
			from->v[d] -= amount->v[d];
		}
	}
	return ok;
}

/* vh_res_scale - @amount times @n, saturating */
static inline struct vh_res vh_res_scale(const struct vh_res *amount,
					 uint32_t n)
{
	struct vh_res r;

	for (int d = 0; d < VH_DIM_COUNT; d++) {
		uint64_t p = (uint64_t)amount->v[d] * n;

		r.v[d] = p > UINT32_MAX ? UINT32_MAX : (uint32_t)p;
	}
	return r;
}

#endif
