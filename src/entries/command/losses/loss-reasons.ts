/** What can keep a job from its answer in time. */

/** In the order in which reports list them. */
export const lossReasons = [
	/** Its task waited although some target that fits had room. */
	'waitedBesideIdleRoom',
	/** Its task waited, and no target that fits had room. */
	'waitedForRoom',
	/** Its task was on the way to the owner of a target. */
	'onTheWay',
	/** An owner refused its task, which was sent again. */
	'refusedByOwner',
	/** A target did not answer the order to start its task. */
	'orderUnanswered',
	/** Its task ran on a target that is slow with others as well, or was taken from it for that. */
	'slowTarget',
	/** Its task just took longer than expected. */
	'longRun',
	/** A run of its task failed. */
	'runFailed',
	/** The target of its task was lost, or dropped it. */
	'targetLost',
	/** The entry that ran its task was lost. */
	'ownerLost',
	/** It was lost with its entry, or its answer was, and it was submitted again. */
	'resubmitted',
	/** The log does not tell. */
	'unexplained',
] as const;
