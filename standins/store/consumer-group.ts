/** A consumer group of the store's stand-in. */

type GroupMember = {heardAt: number; readonly timeToLive: number; acknowledged: number};

/** Distributes the partitions of a topic evenly; one is reassigned once its holder has acknowledged the current generation. */
export class ConsumerGroup {
	generation = 0;
	readonly #members = new Map<string, GroupMember>();
	readonly #holders = new Map<number, string>();

	constructor(private readonly partitionCount: number) {}

	/** Adds a member or renews its membership, and returns its partitions. `timeToLive` and `now` are in milliseconds. */
	join(name: string, timeToLive: number, acknowledged: number, now: number): readonly number[] {
		this.#expire(now);
		if (!this.#members.has(name)) {
			this.generation += 1;
		}

		this.#members.set(name, {heardAt: now, timeToLive, acknowledged});
		this.#assign();
		return [...this.#holders].filter(([partition, holder]) => holder === name && this.#preferredMember(partition) === name).map(([partition]) => partition);
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

	/** A row for each partition; the name is empty if the partition is unassigned. */
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

	#assign(): void {
		for (let partition = 0; partition < this.partitionCount; partition += 1) {
			const preferred = this.#preferredMember(partition)!;
			const holder = this.#holders.get(partition);
			const mayMove = holder === undefined || this.#members.get(holder)!.acknowledged >= this.generation;
			if (mayMove) {
				this.#holders.set(partition, preferred);
			}
		}
	}

	#preferredMember(partition: number): string | undefined {
		const names = [...this.#members.keys()].sort();
		return names[partition % Math.max(1, names.length)];
	}
}
