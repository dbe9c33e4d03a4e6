/** Why it isn't known whether a request ran. */

/** Each cause has its row in docs/INTERFACES.md. */
export type UncertaintyCause =
	| 'connectionLost'
	| 'taskTimeout'
	| 'answerUnusable'
	| 'executorLost'
	| 'homeUnreachable'
	| 'cannotVouch'
	| 'answerForgotten'
	| 'waitExpired'
	| 'stopped';
