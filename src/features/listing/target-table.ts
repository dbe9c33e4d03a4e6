/** Who keeps the list of targets that was read. */

type TableValue = {readonly key: string; readonly value: Uint8Array | undefined};

/** Takes records in the store's order, whichever entry has read them. */
export abstract class TargetTable {
	/** What would make another keeper know the list as this one does, when taken in order. */
	abstract readonly snapshot: readonly TableValue[];

	/** The whole list: keys that aren't in it are gone. Of a key that's there several times the last one counts. */
	abstract replaceAll(values: readonly TableValue[]): void;

	/** Whether the record changed anything but a number that's counted up. */
	abstract apply(value: TableValue): boolean;

	/** All that was read has been taken. */
	abstract commit(): void;
}
