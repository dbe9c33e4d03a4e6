/** A group of the store's stand-in. */

type GroupMember = {heardAt: number; readonly timeToLive: number; acknowledged: number};

/** Deals the partitions of a topic evenly; one that its member has lost moves on when that member knows of it. */
export class ConsumerGroup {
	generation = 0;
	readonly #members = new Map<string, GroupMember>();
	readonly #holders = new Map<number, string>();

	constructor(private readonly partitionCount: number) {}

	/** Keeps or adds a member, and returns its partitions. */
	join(name: string, timeToLive: number, acknowledged: number, now: number): readonly number[] {
		this.#expire(now);
		if (!this.#members.has(name)) {
			this.generation += 1;
		}

		this.#members.set(name, {heardAt: now, timeToLive, acknowledged});
		this.#deal();
		return [...this.#holders].filter(([partition, holder]) => holder === name && this.#wanted(partition) === name).map(([partition]) => partition);
	}

	leave(name: string): void {
		if (!this.#members.delete(name)) {
			return;
		}

		this.generation += 1;
		for (const [partition, holder] of this.#holders) {
			if (holder === name) {
				this.#holders.delete(partition);
			}
		}
	}

	/** A row for each partition; one that nobody holds has an empty name. */
	get owners(): ReadonlyArray<readonly [number, string]> {
		return Array.from({length: this.partitionCount}, (_, partition) => [partition, this.#holders.get(partition) ?? ''] as const);
	}

	#expire(now: number): void {
		for (const [name, {heardAt, timeToLive}] of this.#members) {
			if (now - heardAt > timeToLive) {
				this.leave(name);
			}
		}
	}

	#deal(): void {
		for (let partition = 0; partition < this.partitionCount; partition += 1) {
			const wanted = this.#wanted(partition)!;
			const holder = this.#holders.get(partition);
			const mayMove = holder === undefined || this.#members.get(holder)!.acknowledged >= this.generation;
			if (mayMove) {
				this.#holders.set(partition, wanted);
			}
		}
	}

	#wanted(partition: number): string | undefined {
		const names = [...this.#members.keys()].sort();
		return names[partition % Math.max(1, names.length)];
	}
}
