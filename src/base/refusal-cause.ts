/** Why a request was refused without being run. */

/** Causes are documented in docs/INTERFACES.md, with their HTTP status and the recommended action. */
export type RefusalCause =
	| 'invalidRequest'
	| 'bodyTooLarge'
	| 'unknownProfile'
	| 'retiredProfile'
	| 'neverPlaceable'
	| 'limitReached'
	| 'queueFull'
	| 'deadlineUnreachable'
	| 'noTarget'
	| 'targetRefused'
	| 'cancelled'
	| 'notReady'
	| 'draining'
	| 'registryUnavailable'
	| 'conflictingReuse';
