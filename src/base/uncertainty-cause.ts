/** Why the outcome of a request is unknown. */

/** Causes are documented in docs/INTERFACES.md. */
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
