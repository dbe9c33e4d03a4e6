/** What a task needs of a target, and what a target has. */

/** Immutable amounts: thousandths of a core, megabytes of memory, accelerators. */
export class Resources {
	static readonly none = new Resources(0, 0, 0);

	constructor(readonly cpuMillis: number, readonly memoryMegabytes: number, readonly accelerators: number) {}

	plus(other: Resources): Resources {
		return new Resources(this.cpuMillis + other.cpuMillis, this.memoryMegabytes + other.memoryMegabytes, this.accelerators + other.accelerators);
	}

	minus(other: Resources): Resources {
		return new Resources(this.cpuMillis - other.cpuMillis, this.memoryMegabytes - other.memoryMegabytes, this.accelerators - other.accelerators);
	}

	equals(other: Resources): boolean {
		return this.cpuMillis === other.cpuMillis && this.memoryMegabytes === other.memoryMegabytes && this.accelerators === other.accelerators;
	}

	/** Whether all of this can be taken from the given room. */
	fitsInto(room: Resources): boolean {
		return this.cpuMillis <= room.cpuMillis && this.memoryMegabytes <= room.memoryMegabytes && this.accelerators <= room.accelerators;
	}
}
