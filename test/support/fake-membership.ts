/** A membership that a test arranges. */
import type {AvailabilityZone} from '../../src/base/availability-zone.js';
import {Emitter} from '../../src/base/emitter.js';
import type {InstanceId} from '../../src/base/instance-id.js';
import type {MemberId} from '../../src/base/member-id.js';
import type {Loss} from '../../src/features/membership/loss.js';
import {Membership} from '../../src/features/membership/membership.js';
import type {Member} from '../../src/runtime/peers/member.js';
import type {FakeClock} from './fake-clock.js';

/** Members are alive and answer at once unless a test says otherwise. */
export class FakeMembership extends Membership {
	static memberOf(instance: string, zone = 'zone-1'): Member {
		return {
			id: `${instance}#1` as MemberId, instance: instance as InstanceId, zone: zone as AvailabilityZone, peerAddress: '127.0.0.1:1',
		};
	}

	override listedAt: number | undefined = 0;
	override readonly onDidJoin = new Emitter<Member>().event;
	override readonly onDidLose = new Emitter<Loss>().event;
	readonly #others: Member[] = [];
	readonly #silentSince = new Map<MemberId, number>();

	constructor(override readonly self: Member, private readonly clock: FakeClock) {
		super();
	}

	override get all(): readonly Member[] {
		return this.#others;
	}

	add(member: Member): void {
		this.#others.push(member);
	}

	remove(member: Member): void {
		this.#others.splice(this.#others.indexOf(member), 1);
	}

	/** From now on nothing is heard of a member. */
	silence(member: Member): void {
		this.#silentSince.set(member.id, this.clock.now());
	}

	override inZone(zone: AvailabilityZone): readonly Member[] {
		return [this.self, ...this.#others].filter(member => member.zone === zone);
	}

	override memberOf(member: MemberId): Member | undefined {
		return [this.self, ...this.#others].find(({id}) => id === member);
	}

	override isUnresolved(): boolean {
		return false;
	}

	override isSilent(member: MemberId): boolean {
		return (this.heardAgo(member) ?? 0) > 2000;
	}

	override heardAgo(member: MemberId): number | undefined {
		return this.clock.now() - (this.#silentSince.get(member) ?? this.clock.now());
	}

	override reachedAt(member: MemberId): number | undefined {
		return this.#silentSince.get(member) ?? this.clock.now();
	}

	override isOutOfTouch(member: MemberId): boolean {
		return this.isSilent(member);
	}

	override announceLeft(): void {
		// Nobody listens.
	}
}
