/** What an entry asks the one that reads the list of targets for it. */

export type ListRequest = {
	/** Numbered by the asker. */
	readonly requestId: number;
	/** Up to where it knows the list; nothing where it doesn't. */
	readonly from: number | undefined;
};
