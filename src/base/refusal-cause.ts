/** Why a request was refused before it ran. */

/** Each cause has its row in docs/INTERFACES.md: the status that a caller sees, and what to do. */
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
