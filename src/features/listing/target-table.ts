/** The table of targets that the replicated list is applied to. */

/** The value of a key, or its removal. */
type TableValue = {readonly key: string; readonly value: Uint8Array | undefined};

/** Applies records in the store's order, regardless of which entry has read them. */
export abstract class TargetTable {
	/** The values that reproduce this table when applied in order to an empty one. */
	abstract readonly snapshot: readonly TableValue[];

	/** Replaces the contents: missing keys are removed, and of several values of a key the last one counts. */
	abstract replaceAll(values: readonly TableValue[]): void;

	/** Applies a value; returns whether anything but its sequence number changed. */
	abstract apply(value: TableValue): boolean;

	/** Ends a batch of changes. */
	abstract commit(): void;
}
