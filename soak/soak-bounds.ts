/** Time limits of the invariants, and timings of callers and faults. */

/** In milliseconds. Where the entries' settings state the same limit, the values agree. */
export const soakBounds = {
	/** From the store's acceptance of a configuration change until every entry applies it. */
	configurationDelay: 2000,
	/** Added to `configurationDelay` while the store is disturbed. */
	configurationDelayDuringStoreFaults: 5000,
	/** Timed invariants are not checked until this long after a disturbance. */
	disturbanceMargin: 3000,
	/** An entry may handle probes sent within this time of each other in any order. */
	reorderTolerance: 250,
	/** From the store's acceptance of a worker's drain until the worker gets no new tasks. */
	drainTime: 2000,
	/** From the loss of an answer until the caller submits the job again. */
	resubmissionDelay: 1300,
	/** Within this time of a graceful stop, an entry must not break a request. */
	shutdownGrace: 6000,
	/** From the end of the last fault until jobs must be served again. */
	recoveryTime: 6000,
	/** Deadline that callers state for a job of ordinary length. */
	callerTimeout: 1500,
	/** No fault is active for this long before the traffic ends. */
	faultFreeEnd: 9000,
};
