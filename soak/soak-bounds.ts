/** The promises' times, in milliseconds; those of the settings file that the soak's entries get. */
export const soakBounds = {
	/** A change of the configuration is in force so long after the store has accepted it. */
	apply: 2000,
	/** Added while the store is disturbed. */
	applyStretch: 5000,
	/** A rule with a time holds for what was left undisturbed for so long before. */
	contact: 3000,
	/** Answers of one entry may be handled in another order than they were sent, within this. */
	reorder: 250,
	drain: 2000,
	/** Callers submit again so long after a loss. */
	resubmission: 1300,
	grace: 6000,
	/** Service is back so long after the last fault. */
	recovery: 6000,
	patience: 1500,
	/** The faults end so long before the traffic, so that the recovery can be seen. */
	quietEnd: 9000,
};
