/** Bounds on published backlogs. */

/** Figures beyond these limits are neither sent nor accepted, so that the size of a message doesn't grow with the deployment. */
export const backlogLimits = {
	queues: 8,
	services: 8,
	zones: 8,
	/** Older figures are ignored. */
	ageMilliseconds: 3000,
} as const;
