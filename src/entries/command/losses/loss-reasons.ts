/** Reasons why jobs are not answered in time. */

/** All reasons, in the order in which reports list them. */
export const lossReasons = [
	/** Its task waited although a suitable target had free capacity. */
	'waitedBesideIdleRoom',
	/** Its task waited while no suitable target had free capacity. */
	'waitedForRoom',
	/** It was refused at its arrival, since by the forecast no target would have had capacity in time. */
	'refusedByForecast',
	/** Its task was in transit to the owner of a target, or its answer was in transit. */
	'onTheWay',
	/** An owner refused its task, which was sent elsewhere. */
	'refusedByOwner',
	/** A target did not answer the request to start its task. */
	'orderUnanswered',
	/** Its task ran on a target that is also slow with other tasks, or was stopped as overdue. */
	'slowTarget',
	/** Its task took longer than expected, on a target of normal speed. */
	'longRun',
	/** A run of its task failed. */
	'runFailed',
	/** The target was lost, or lost the task. */
	'targetLost',
	/** The entry that owned the target of its task was lost. */
	'ownerLost',
	/** Its caller resubmitted it after its entry or its answer was lost. */
	'resubmitted',
	/** The log does not contain the cause. */
	'unexplained',
] as const;
