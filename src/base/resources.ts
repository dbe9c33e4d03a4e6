/** Resource amounts of tasks and targets. */

/** Immutable amounts of CPU in thousandths of a core, memory in megabytes, and accelerators. */
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

	/** Whether the available amounts cover all of these. */
	fitsInto(available: Resources): boolean {
		return this.cpuMillis <= available.cpuMillis && this.memoryMegabytes <= available.memoryMegabytes && this.accelerators <= available.accelerators;
	}
}
