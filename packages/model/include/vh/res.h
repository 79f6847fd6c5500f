#ifndef VH_RES_H
#define VH_RES_H

/*
 * Resource vectors, such as the size of a task or the capacity of a worker, and
 * saturating arithmetic on them. Called by core, policy, state and the
 * stand-ins.
 */

#include <stdbool.h>
#include <stdint.h>

/**
 * enum vh_dim - resource dimensions
 * @VH_CPU: CPU time, in thousandths of a CPU
 * @VH_MEM: memory, in MiB
 * @VH_ACCEL: number of accelerators
 * @VH_SLOTS: number of request slots
 * @VH_CONNS: number of connections
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
 * struct vh_res - resource vector, one amount for each dimension
 * @v: indexed by enum vh_dim
 */
struct vh_res {
	uint32_t v[VH_DIM_COUNT];
};

#define VH_RES_UNLIMITED UINT32_MAX

/* vh_res_fits - whether @want is at most @free in every dimension */
static inline bool vh_res_fits(const struct vh_res *want,
			       const struct vh_res *free)
{
	for (int d = 0; d < VH_DIM_COUNT; d++) {
		if (want->v[d] > free->v[d])
			return false;
	}
	return true;
}

/* vh_res_add - adds @amount to @to, saturating at UINT32_MAX */
static inline void vh_res_add(struct vh_res *to, const struct vh_res *amount)
{
	for (int d = 0; d < VH_DIM_COUNT; d++) {
		uint64_t sum = (uint64_t)to->v[d] + amount->v[d];

		to->v[d] = sum > UINT32_MAX ? UINT32_MAX : (uint32_t)sum;
	}
}

/* vh_res_sub - subtracts @amount from @from, saturating at 0; returns false if
 * any dimension saturated */
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

/* vh_res_scale - returns @amount times @n, saturating at UINT32_MAX */
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
