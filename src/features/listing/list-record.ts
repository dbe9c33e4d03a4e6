/** A record of the list of targets, as the store holds it. */

export type ListRecord = {
	/** Its place in the store's order. */
	readonly offset: number;
	readonly key: string;
	/** Nothing where the key was dropped. */
	readonly value: Uint8Array | undefined;
};
