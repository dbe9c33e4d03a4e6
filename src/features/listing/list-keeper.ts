/** Who keeps the list of targets that was read. */

type KeptValue = {readonly key: string; readonly value: Uint8Array | undefined};

/** Takes records in the store's order, whichever entry has read them. */
export abstract class ListKeeper {
	/** What would make another keeper know the list as this one does, when taken in order. */
	abstract readonly whole: readonly KeptValue[];

	/** The whole list: keys that aren't in it are gone. Of a key that's there several times the last one counts. */
	abstract takeWhole(values: readonly KeptValue[]): void;

	/** Whether the record changed anything but a number that's counted up. */
	abstract take(value: KeptValue): boolean;

	/** All that was read has been taken. */
	abstract settle(): void;
}
