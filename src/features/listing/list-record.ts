/** A record of the target log in the store. */

/** A new value of one key, or its removal. */
export type ListRecord = {
	/** The position in the log. */
	readonly offset: number;
	readonly key: string;
	/** Undefined if the key was removed. */
	readonly value: Uint8Array | undefined;
};
